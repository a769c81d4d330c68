#pragma once

#include "LibRelay/relay.h"

#include <map>

namespace azurehaven {

/// Finds out when a path to a service is lost, and connects to its endpoints,
/// one after the other, to find out when it is back.
class path_prober {
public:
  explicit path_prober(relay_context &Context) : Context(Context) {}

  /// Judges the paths and starts the probes that are due; to be called every
  /// 100 ms or so.
  void advance(steady_time Now);

private:
  struct probe_state {
    std::size_t NextEndpoint = 0;
    steady_time DueAt;
    bool IsRunning = false;
  };

  void probe(const service_id &Service, const endpoint_descriptor &Endpoint);
  void onResult(const service_id &Service, const endpoint_id &Endpoint,
                bool IsReachable);

  relay_context &Context;
  std::map<service_id, probe_state> Probes;
};

} // namespace azurehaven
