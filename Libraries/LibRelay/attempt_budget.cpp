#include "LibRelay/attempt_budget.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Attempts allowed beyond the route's MaxAttempts, which limits executions:
/// refusals by full endpoints cost little.
constexpr int MaxExtraSends = 2;

int maxRunsOf(const admitted_request &Admitted) {
  const auto &Origin = Admitted.Request.Origin;
  const int OfRoute = Admitted.Route->MaxAttempts;
  if (!Origin || !Origin->AllowedRuns)
    return OfRoute;
  return std::min(OfRoute, Origin->RunCount + *Origin->AllowedRuns);
}

} // namespace

attempt_budget::attempt_budget(const admitted_request &Admitted,
                               steady_time ArrivedAt)
    : Route(*Admitted.Route), ArrivedAt(ArrivedAt),
      TimeLimit(timeLimitOf(Admitted.Request, Route)),
      MaxRuns(maxRunsOf(Admitted)) {
  if (Admitted.Request.Origin)
    RunCount = Admitted.Request.Origin->RunCount;
}

milliseconds attempt_budget::timeLeft(steady_time Now) const {
  return TimeLimit - std::chrono::duration_cast<milliseconds>(Now - ArrivedAt);
}

int attempt_budget::runsLeft() const { return MaxRuns - RunCount; }

bool attempt_budget::allowsSend(int LiveRuns) const {
  return Route.allowsReexecution() || RunCount + LiveRuns == 0;
}

bool attempt_budget::allowsRerun() const {
  return Route.allowsReexecution() && runsLeft() > 1;
}

bool attempt_budget::allowsRetryAfter(attempt_failure Failure,
                                      steady_time Now) const {
  return isRetryAllowed(Route, Failure) && runsLeft() > 0 &&
         SendCount < Route.MaxAttempts + MaxExtraSends &&
         timeLeft(Now).count() > 0;
}

} // namespace azurehaven
