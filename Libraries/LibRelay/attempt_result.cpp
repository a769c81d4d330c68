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
  if (Result.PaceMs) {
    Counts.Slow = Fleet.Paces.isSlow(Route.Name, Model, *Result.PaceMs);
    if (!IsRolloutTarget)
      Fleet.Paces.add(Route.Name, Model, *Result.PaceMs);
  }
  Fleet.Evidence.addLocal({Endpoint.Service, Endpoint.Release, Route.Name},
                          Counts);
}

} // namespace azurehaven
