#include "LibRelay/attempt_result.h"

namespace azurehaven {

void recordAttemptResult(fleet_state &Fleet,
                         const endpoint_descriptor &Endpoint,
                         const route &Route, const model_id &Model,
                         const attempt_result &Result, steady_time Now) {
  release_counts Counts;
  Counts.Requests = 1;
  Counts.Failures = Result.Failed;
  const release_rule Rule = Fleet.Rollouts.ruleFor(Endpoint.Service, Now);
  const bool IsRolloutTarget =
      Rule.Phase != rollout_phase::None && Endpoint.Release == Rule.Target;
  if (Result.LatencyMs) {
    Counts.Slow =
        Fleet.LatencyBaseline.isSlow(Route.Name, Model, *Result.LatencyMs);
    if (!IsRolloutTarget)
      Fleet.LatencyBaseline.add(Route.Name, Model, *Result.LatencyMs);
  }
  Fleet.ReleaseStatistics.addLocal(
      {Endpoint.Service, Endpoint.Release, Route.Name}, Counts);
}

} // namespace azurehaven
