#pragma once

#include "LibClient/caller_client.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace azurehaven {

/// Callers that send requests in a closed loop. Each finds its entry VM by
/// discovery and caches the list for the permitted time.
class background_load {
public:
  background_load(http_transport &Transport,
                  std::vector<network_address> FirstEntries);
  ~background_load();

  void start(std::size_t Callers, const std::string &Class);
  /// Stops the callers and returns all responses.
  std::vector<caller_response> stop();
  std::size_t responseCount() const { return Count; }

private:
  void callerLoop(std::size_t Number, std::string Class);

  http_transport &Transport;
  const std::vector<network_address> FirstEntries;
  std::atomic<bool> IsStopping = false;
  std::atomic<std::size_t> Count = 0;
  std::mutex Mutex;
  std::vector<caller_response> Responses;
  std::vector<std::thread> Callers;
};

} // namespace azurehaven
