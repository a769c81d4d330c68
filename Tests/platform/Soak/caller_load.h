#pragma once

#include "Soak/caller_record.h"
#include "Soak/soak_cluster.h"

#include <atomic>
#include <random>

namespace azurehaven::platform {

/// Callers that resolve entry processes through the directory, cache the
/// addresses and send requests of all kinds in a closed loop.
class caller_load {
public:
  caller_load(const soak_cluster &Cluster, std::uint64_t Seed);
  ~caller_load();

  void start(std::size_t Callers);
  /// Stops the callers and returns all records.
  std::vector<caller_record> stop();
  /// Sends one request to this entry process and waits for the response.
  caller_record sendRequest(std::size_t Entry, request_kind Kind,
                            const std::string &Account, connection_use Use);

private:
  void callerLoop(std::uint64_t Seed);
  std::vector<std::size_t> resolveEntries(std::mt19937_64 &Random);
  void sendPlain(caller_record &Record, const network_address &To,
                 const http_request &Request, connection_use Use);
  void sendStream(caller_record &Record, const network_address &To,
                  const http_request &Request);

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
