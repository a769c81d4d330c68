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
  /// When the endpoint stopped working on it; never if unset.
  steady_time EndedAt = steady_time::max();
};

/// A request that reached an endpoint, whether it was executed or not.
struct endpoint_arrival {
  request_id Request;
  std::string Service;
  steady_time At;
};

/// All arrivals and executions on the endpoints, the latter by request.
/// Thread-safe.
class run_registry {
public:
  void started(const request_id &Request, endpoint_run Run) {
    std::lock_guard Lock(Mutex);
    Runs[Request].push_back(std::move(Run));
  }
  void ended(const request_id &Request, const std::string &Endpoint) {
    std::lock_guard Lock(Mutex);
    for (endpoint_run &Run : Runs[Request])
      if (Run.Endpoint == Endpoint && Run.EndedAt == steady_time::max())
        Run.EndedAt = std::chrono::steady_clock::now();
  }
  void arrived(const request_id &Request, const std::string &Service) {
    std::lock_guard Lock(Mutex);
    Arrivals.push_back({Request, Service, std::chrono::steady_clock::now()});
  }
  /// In order of time.
  std::vector<endpoint_arrival> arrivals() {
    std::lock_guard Lock(Mutex);
    return Arrivals;
  }
  std::map<request_id, std::vector<endpoint_run>> all() {
    std::lock_guard Lock(Mutex);
    return Runs;
  }

private:
  std::mutex Mutex;
  std::map<request_id, std::vector<endpoint_run>> Runs;
  std::vector<endpoint_arrival> Arrivals;
};

} // namespace azurehaven::platform
