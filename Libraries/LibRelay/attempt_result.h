#pragma once

#include "LibDispatch/route_table.h"
#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// What one attempt showed of the endpoint and its release.
struct attempt_result {
  bool Failed = false;
  /// Pause between events, or the whole time of a plain answer, in
  /// milliseconds; nullopt where too little was seen.
  std::optional<double> PaceMs;
};

/// Takes the outcome into the evidence on the endpoint's release.
void recordAttemptResult(fleet_state &Fleet,
                         const endpoint_descriptor &Endpoint,
                         const route &Route, const model_id &Model,
                         const attempt_result &Outcome, steady_time Now);

} // namespace azurehaven
