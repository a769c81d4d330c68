#pragma once

#include "Soak/promise_check.h"
#include "Soak/soak_cluster.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace azurehaven::platform {

/// Plays faults on a soak's world, one after the other and overlapping, drawn
/// from a seed. Prints each with its time.
class fault_schedule {
public:
  fault_schedule(soak_cluster &Cluster, std::uint64_t Seed);

  /// Starts this many faults, and ends all of them.
  status play(std::size_t Faults);
  /// Stops each entry process in its turn and starts it again, with nothing
  /// else going on.
  status restartOneByOne();
  /// Ends every entry process by a planned stop.
  status stopAll();

  /// Adds the times of what was declared: keys, leavings.
  void describe(soak_history &History) const;

private:
  /// Ends one fault; run when its time is over.
  using fault_end = std::function<status()>;
  using fault_start = result<fault_end> (fault_schedule::*)();

  result<fault_end> killEntry();
  result<fault_end> pauseEntry();
  result<fault_end> stopEntry();
  result<fault_end> reloadEntry();
  result<fault_end> takeStoreDown();
  result<fault_end> dropStoreResponses();
  result<fault_end> injectStoreLinkFault();
  result<fault_end> injectEndpointLinkFault();
  result<fault_end> degradeEndpoint();
  result<fault_end> crashEndpoint();
  result<fault_end> drainEndpoint();
  result<fault_end> revokeKey();

  /// Begins a fault on a target that has none yet, and says how it ends.
  result<fault_end> injectFault(const std::string &Target, fault_kind Kind,
                                const std::string &FaultTarget,
                                const std::string &Text, const fault_end &Begin,
                                fault_end End);
  status endDue(steady_time Now);
  status awaitStop(std::size_t Entry);
  std::size_t anyEntry() { return Random() % EntryCount; }
  link_fault anyLinkFault() {
    return static_cast<link_fault>(1 + Random() % 4);
  }
  std::size_t anyEndpoint() { return Random() % EndpointCount; }
  void print(const std::string &Text) const;

  soak_cluster &Cluster;
  std::mt19937_64 Random;
  const steady_time StartedAt;
  std::multimap<steady_time, fault_end> Ends;
  /// What is in fault_interval already and gets no second one of its kind.
  std::set<std::string> ActiveTargets;
  std::vector<timed_event> Revocations;
  std::vector<timed_event> Restorations;
  std::vector<timed_event> DrainStarts;
};

} // namespace azurehaven::platform
