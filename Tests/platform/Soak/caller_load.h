#pragma once

#include "Soak/caller_record.h"
#include "Soak/kept_connection.h"
#include "Soak/soak_cluster.h"

#include <atomic>
#include <random>

namespace azurehaven::platform {

/// Callers that resolve entry processes through the directory, cache the
/// addresses and send requests of all kinds in a closed loop. Each keeps a
/// connection of its own for some requests and leaves it idle for less than
/// four fifths of the idle timeout.
class caller_load {
public:
  caller_load(const soak_cluster &Cluster, std::uint64_t Seed);
  ~caller_load();

  void start(std::size_t Callers);
  /// Stops the callers and returns all records.
  std::vector<caller_record> stop();
  /// Whether this entry process answers one request, sent on a new connection,
  /// with success.
  bool isServed(std::size_t Entry, request_kind Kind);

private:
  /// The connection that a caller keeps; none if Connection is empty.
  struct kept_state {
    std::unique_ptr<kept_connection> Connection;
    std::size_t Entry = 0;
    steady_time RestingSince;
  };

  void callerLoop(std::uint64_t Seed);
  std::vector<std::size_t> resolveEntries(std::mt19937_64 &Random);
  /// Leaves the connection idle for a drawn time; returns whether it can carry
  /// another request.
  bool rest(kept_state &Kept, std::mt19937_64 &Random) const;
  milliseconds longestRest(steady_time Since) const;
  caller_record makeRecord(std::size_t Entry, request_kind Kind,
                           const std::string &Account);
  void exchange(kept_connection &Connection, caller_record &Record,
                std::size_t BodyBytes) const;

  const soak_cluster &Cluster;
  const std::uint64_t Seed;
  pooled_http_transport Transport;
  std::atomic<std::uint64_t> NextId = 1;
  std::atomic<bool> IsStopping = false;
  std::mutex Mutex;
  std::vector<caller_record> Records;
  std::vector<std::thread> Threads;
};

} // namespace azurehaven::platform
