#include "LibRelay/attempt_result.h"

namespace azurehaven {

void recordAttemptResult(fleet_state &Fleet,
                         const endpoint_descriptor &Endpoint,
                         const route &Route, const model_id &Model,
                         const attempt_result &Outcome, steady_time Now) {
  release_counts Counts;
  Counts.Requests = 1;
  Counts.Failures = Outcome.Failed;
  const release_rule Rule = Fleet.Rollouts.ruleFor(Endpoint.Service, Now);
  const bool IsOnTrial =
      Rule.Phase != rollout_phase::None && Endpoint.Release == Rule.Target;
  if (Outcome.PaceMs) {
    Counts.Slow = Fleet.Paces.isSlow(Route.Name, Model, *Outcome.PaceMs);
    if (!IsOnTrial)
      Fleet.Paces.add(Route.Name, Model, *Outcome.PaceMs);
  }
  Fleet.Evidence.addLocal({Endpoint.Service, Endpoint.Release, Route.Name},
                          Counts);
}

} // namespace azurehaven
