#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace azurehaven::platform {

/// One execution of a request, recorded by its endpoint.
struct endpoint_run {
  std::string Endpoint;
  std::string Account;
  std::string Path;
  steady_time StartedAt;
};

/// All executions on the endpoints, by request. Thread-safe.
class run_registry {
public:
  void started(const request_id &Request, endpoint_run Run) {
    std::lock_guard Lock(Mutex);
    Runs[Request].push_back(std::move(Run));
  }
  std::map<request_id, std::vector<endpoint_run>> all() {
    std::lock_guard Lock(Mutex);
    return Runs;
  }

private:
  std::mutex Mutex;
  std::map<request_id, std::vector<endpoint_run>> Runs;
};

} // namespace azurehaven::platform
