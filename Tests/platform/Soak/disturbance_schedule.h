#pragma once

#include "Soak/soak_cluster.h"

#include <atomic>
#include <functional>
#include <map>
#include <random>

namespace azurehaven::platform {

/// Events that excuse no missing answer: endpoints that stand still and go on,
/// entry processes that run in short steps, changes of the configuration and
/// reloads. Drawn from a seed, on a thread of its own; they overlap with the
/// faults of a fault_schedule.
class disturbance_schedule {
public:
  disturbance_schedule(soak_cluster &Cluster, std::uint64_t Seed)
      : Cluster(Cluster), Random(Seed) {}
  ~disturbance_schedule() { stop(); }

  void start();
  /// From now on no entry process runs in steps, and no endpoint refuses.
  void keepToSilence() { IsCalm = true; }
  /// Ends all disturbances.
  void stop();

private:
  void playActions();
  void drawDisturbance();
  void standStillInTurn();
  void standStill(std::size_t Endpoint, milliseconds Length);
  /// All endpoints of a service refuse some requests.
  void refuseSome();
  void stallEntries();
  void stallStep(const std::set<std::size_t> &Entries, steady_time Until);
  void changeLimits();
  void changeInStorm();
  void reloadEntry();
  milliseconds drawTime(milliseconds Least, milliseconds Most);
  void after(milliseconds Delay, std::function<void()> Action);

  soak_cluster &Cluster;
  std::mt19937_64 Random;
  std::multimap<steady_time, std::function<void()>> Actions;
  std::set<std::size_t> StillEndpoints;
  bool IsStalling = false;
  bool IsRefusing = false;
  soak_configuration Configuration;
  std::atomic<bool> IsCalm = false;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

} // namespace azurehaven::platform
