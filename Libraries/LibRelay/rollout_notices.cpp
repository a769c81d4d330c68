#include "LibRelay/rollout_notices.h"

namespace azurehaven {

namespace {

rollout_result resultOf(std::optional<rollout_outcome> Outcome) {
  if (Outcome == rollout_outcome::Completed)
    return rollout_result::Completed;
  if (Outcome == rollout_outcome::RolledBack)
    return rollout_result::RolledBack;
  return rollout_result::None;
}

std::optional<rollout_outcome> outcomeOf(rollout_result Result) {
  switch (Result) {
  case rollout_result::Completed:
    return rollout_outcome::Completed;
  case rollout_result::RolledBack:
    return rollout_outcome::RolledBack;
  case rollout_result::None:
    break;
  }
  return std::nullopt;
}

} // namespace

rollout_notice noticeOf(const service_id &Service, const rollout_state &State) {
  rollout_notice Notice;
  Notice.Service = Service;
  Notice.Target = State.Target;
  Notice.OrderNumber = State.OrderNumber;
  Notice.Elapsed = State.Elapsed;
  Notice.IsElapsedEstimated = State.Source == start_source::Estimated;
  Notice.TrialShare = State.Agreement.TrialShare;
  for (const auto &[Route, Share] : State.Agreement.RouteShares)
    Notice.RouteShares.push_back({Route, Share});
  Notice.ShiftStart = State.Agreement.ShiftStart;
  Notice.IsRejected = State.Agreement.IsRejected;
  Notice.Result = resultOf(State.Agreement.Outcome);
  return Notice;
}

rollout_state rolloutStateOf(const rollout_notice &Notice) {
  rollout_state State;
  State.Target = Notice.Target;
  State.OrderNumber = Notice.OrderNumber;
  State.Elapsed = Notice.Elapsed;
  State.Source = Notice.IsElapsedEstimated ? start_source::Estimated
                                           : start_source::Observed;
  State.Agreement.TrialShare = Notice.TrialShare;
  for (const auto &Share : Notice.RouteShares)
    State.Agreement.RouteShares[Share.Route] = Share.Share;
  State.Agreement.ShiftStart = Notice.ShiftStart;
  State.Agreement.IsRejected = Notice.IsRejected;
  State.Agreement.Outcome = outcomeOf(Notice.Result);
  return State;
}

} // namespace azurehaven
