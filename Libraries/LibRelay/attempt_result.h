#pragma once

#include "LibDispatch/route_table.h"
#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// Result of one attempt, as counted in the statistics of the endpoint's
/// release.
struct attempt_result {
  bool Failed = false;
  /// Mean time between events, or total time of a plain response; nullopt if it
  /// could not be measured.
  std::optional<double> LatencyMs;
};

/// Adds the result to the statistics of the endpoint's release. A release that
/// is being rolled out does not change the latency baseline.
void recordAttemptResult(fleet_state &Fleet,
                         const endpoint_descriptor &Endpoint,
                         const route &Route, const model_id &Model,
                         const attempt_result &Result, steady_time Now);

} // namespace azurehaven
