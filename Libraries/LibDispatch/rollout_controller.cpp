#include "LibDispatch/rollout_controller.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Fractions of the exposure share that a trial uses: at first, at least and at
/// most. A larger trial finds faults sooner; the shift needs its part as well.
constexpr double InitialTrialFraction = 0.3;
constexpr double MinimumTrialFraction = 0.15;
constexpr double MaximumTrialFraction = 0.6;

/// Bounds of a route's factor. Requests with a common prompt go to the same
/// release, so that a small trial may get all of a route's requests or none.
constexpr double MinimumRouteFactor = 0.25;
constexpr double MaximumRouteFactor = 16;

/// Sessions leave a rejected target after this time though its roll-back could
/// not be published: callers must not depend on the store to get away from it.
constexpr milliseconds UnpublishedRejectionLimit{3000};

/// Fraction of the requests beyond the trial's that have moved to the target.
double shiftedFraction(const rollout_schedule &Schedule, milliseconds Elapsed) {
  if (Elapsed >= Schedule.ShiftEnd)
    return 1;
  const std::chrono::duration<double> SinceStart =
      Elapsed - Schedule.ShiftStart;
  return SinceStart / (Schedule.ShiftEnd - Schedule.ShiftStart);
}

} // namespace

const char *nameOf(rollout_outcome Outcome) {
  switch (Outcome) {
  case rollout_outcome::InProgress:
    return "in_progress";
  case rollout_outcome::Completed:
    return "completed";
  case rollout_outcome::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

bool rollout_controller::isRepeated(const rollout &Rollout,
                                    const rollout_order &Order,
                                    order_origin Origin) {
  if (Rollout.Order.Revision.isAbsent())
    return false;
  switch (Origin) {
  case order_origin::Written:
    return false;
  case order_origin::MaybeRepeated:
    return Rollout.Order.Target == Order.Target;
  case order_origin::MaybeCopied:
    return true;
  }
  return false;
}

void rollout_controller::onOrder(const rollout_order &Order,
                                 order_origin Origin, milliseconds Elapsed,
                                 steady_time Now) {
  auto &Rollout = Rollouts[Order.Service];
  if (Rollout.Order.Revision >= Order.Revision)
    return;
  if (isRepeated(Rollout, Order, Origin)) {
    // The copy may still hold the order before the one that is in force.
    if (Rollout.Order.Target == Order.Target)
      Rollout.Order.Revision = Order.Revision;
  } else {
    Rollout = {};
    Rollout.Order = Order;
    Rollout.BeganAt = Now - Elapsed;
  }
  applyPublishedOutcome(Rollout);
}

void rollout_controller::onStoreRestored() {
  LatestOutcomes.clear();
  for (auto &[Service, Rollout] : Rollouts) {
    Rollout.PublishedOutcome.reset();
    Rollout.PublishedRevision = {};
  }
}

void rollout_controller::onOutcome(const service_id &Service,
                                   const std::string &Target,
                                   rollout_outcome Outcome,
                                   store_revision Revision) {
  auto &Latest = LatestOutcomes[Service];
  if (Latest.Revision >= Revision)
    return;
  Latest = {Target, Outcome, Revision};
  auto Found = Rollouts.find(Service);
  if (Found != Rollouts.end())
    applyPublishedOutcome(Found->second);
}

void rollout_controller::applyPublishedOutcome(rollout &Rollout) const {
  auto Found = LatestOutcomes.find(Rollout.Order.Service);
  if (Found == LatestOutcomes.end())
    return;
  const published_outcome &Latest = Found->second;
  Rollout.PublishedRevision = Latest.Revision;
  // An outcome published before the order belongs to an earlier roll-out.
  if (Latest.Target == Rollout.Order.Target &&
      Latest.Revision > Rollout.Order.Revision)
    Rollout.PublishedOutcome = Latest.Outcome;
  if (!Rollout.FinalOutcome &&
      Rollout.PublishedOutcome != rollout_outcome::InProgress)
    Rollout.FinalOutcome = Rollout.PublishedOutcome;
}

milliseconds rollout_controller::elapsed(const rollout &Rollout,
                                         steady_time Now) {
  return std::chrono::duration_cast<milliseconds>(Now - Rollout.BeganAt);
}

double rollout_controller::trialShare(const rollout &Rollout) const {
  return Rollout.TrialShare.value_or(Exposure.Share * InitialTrialFraction);
}

bool rollout_controller::isAnyUndecided() const {
  return std::any_of(Rollouts.begin(), Rollouts.end(), [](const auto &Entry) {
    return !Entry.second.FinalOutcome && !Entry.second.RejectedAt;
  });
}

rollout_phase rollout_controller::phaseOf(const rollout &Rollout,
                                          steady_time Now) const {
  // The endpoints of the old release are gone once completion is published,
  // whatever this VM has found.
  if (Rollout.FinalOutcome == rollout_outcome::Completed)
    return rollout_phase::Completed;
  const bool IsOverdue = Rollout.RejectedAt &&
                         Now - *Rollout.RejectedAt >= UnpublishedRejectionLimit;
  if (Rollout.FinalOutcome == rollout_outcome::RolledBack || IsOverdue)
    return rollout_phase::RolledBack;
  if (Rollout.RejectedAt)
    return rollout_phase::Rejected;
  const bool HasShifted =
      !Rollout.IsShiftHeld &&
      elapsed(Rollout, Now) >= scheduleOf(Rollout).ShiftStart;
  return HasShifted ? rollout_phase::Shift : rollout_phase::Trial;
}

release_rule rollout_controller::ruleFor(const service_id &Service,
                                         steady_time Now) const {
  auto Found = Rollouts.find(Service);
  if (Found == Rollouts.end())
    return {};
  const rollout &Rollout = Found->second;
  release_rule Rule;
  Rule.Target = Rollout.Order.Target;
  Rule.Since = Rollout.BeganAt;
  const rollout_schedule Schedule = scheduleOf(Rollout);
  const milliseconds Elapsed = elapsed(Rollout, Now);
  Rule.Phase = phaseOf(Rollout, Now);
  Rule.TargetShare = trialShare(Rollout);
  if (Elapsed >= Schedule.ShiftStart && !Rollout.IsShiftHeld) {
    Rule.TargetShare +=
        shiftedFraction(Schedule, Elapsed) * (1 - Rule.TargetShare);
  }
  Rule.PinsSessions = Elapsed < Schedule.SessionMove;
  return Rule;
}

std::vector<rollout_controller::rollout_summary>
rollout_controller::summaries(steady_time Now) const {
  std::vector<rollout_summary> Summaries;
  for (const auto &[Service, Rollout] : Rollouts)
    Summaries.push_back({Service, ruleFor(Service, Now), elapsed(Rollout, Now),
                         Rollout.Verdict, Rollout.IsShiftHeld});
  return Summaries;
}

void rollout_controller::observe(rollout &Rollout,
                                 const release_statistics &Statistics,
                                 steady_time Now) const {
  const service_id &Service = Rollout.Order.Service;
  const service_totals Totals = Statistics.totals(Service);
  if (!Rollout.TotalsBefore) {
    Rollout.TotalsBefore = Totals;
    Rollout.ObservedSince = Now;
    Rollout.AttemptsBefore =
        Statistics.localAttempts(Service, Rollout.Order.Target);
  }
  Rollout.Verdict =
      judgeRelease(Totals, *Rollout.TotalsBefore, Rollout.Order.Target);
  balanceRoutes(Rollout, Totals);
}

void rollout_controller::balanceRoutes(rollout &Rollout,
                                       const service_totals &Totals) const {
  std::map<std::string, exposure_counts> Attempts;
  for (const auto &[Key, Counts] : Totals) {
    const auto Before = Rollout.TotalsBefore->find(Key);
    const std::uint32_t Earlier =
        Before == Rollout.TotalsBefore->end() ? 0 : Before->second.Attempts;
    Attempts[Key.Route].All += Counts.Attempts - Earlier;
    if (Key.Release == Rollout.Order.Target)
      Attempts[Key.Route].Target += Counts.Attempts - Earlier;
  }
  for (const auto &[Route, Counts] : Attempts) {
    const double Expected = trialShare(Rollout) * Counts.All;
    const double Ratio = Expected / std::max(Counts.Target, 1u);
    // The square corrects a wrong number of requests sooner than its share of
    // the prompts changes.
    Rollout.RouteFactors[Route] =
        std::clamp(Ratio * Ratio, MinimumRouteFactor, MaximumRouteFactor);
  }
}

double rollout_controller::routeFactor(const service_id &Service,
                                       const std::string &Route) const {
  const auto Rollout = Rollouts.find(Service);
  if (Rollout == Rollouts.end())
    return 1;
  const auto Factor = Rollout->second.RouteFactors.find(Route);
  return Factor == Rollout->second.RouteFactors.end() ? 1 : Factor->second;
}

void rollout_controller::limitExposure(rollout &Rollout,
                                       const release_statistics &Statistics,
                                       const rollout_surroundings &Surroundings,
                                       steady_time Now) const {
  const rollout_schedule Schedule = scheduleOf(Rollout);
  const milliseconds Elapsed = elapsed(Rollout, Now);
  const exposure_counts Sent =
      Statistics.localAttempts(Rollout.Order.Service, Rollout.Order.Target);
  const auto InFlight = Surroundings.InFlight.find(Rollout.Order.Service);
  const exposure_budget Budget(
      Exposure, Surroundings.VmCount,
      {Sent.Target - Rollout.AttemptsBefore.Target,
       Sent.All - Rollout.AttemptsBefore.All,
       InFlight == Surroundings.InFlight.end() ? 0 : InFlight->second},
      std::chrono::duration_cast<milliseconds>(Now - Rollout.ObservedSince),
      Schedule.TimeLimit - Elapsed);
  if (Elapsed < Schedule.ShiftStart) {
    if (Budget.hasRate())
      Rollout.TrialShare =
          std::clamp(Budget.shareBefore(Schedule.fullExposure(),
                                        Schedule.ShiftStart - Elapsed),
                     Exposure.Share * MinimumTrialFraction,
                     Exposure.Share * MaximumTrialFraction);
    return;
  }
  // Once begun, the shift goes on: sessions must not move back and forth.
  if (Rollout.HasShifted)
    return;
  const milliseconds FullTime =
      std::min(Schedule.fullExposure(), Schedule.TimeLimit - Elapsed);
  const bool IsAllowed = !Budget.hasRate() || Budget.allowsAll(FullTime);
  Rollout.HasShifted = IsAllowed && Rollout.Verdict != release_verdict::Suspect;
  Rollout.IsShiftHeld = !Rollout.HasShifted;
}

void rollout_controller::judge(const release_statistics &Statistics,
                               const rollout_surroundings &Surroundings,
                               steady_time Now) {
  for (auto &[Service, Rollout] : Rollouts) {
    if (Rollout.FinalOutcome || Rollout.RejectedAt)
      continue;
    if (Surroundings.PlainServices.contains(Service))
      Rollout.Shift = shift_kind::Immediate;
    observe(Rollout, Statistics, Now);
    limitExposure(Rollout, Statistics, Surroundings, Now);
    const bool IsDue = elapsed(Rollout, Now) >= scheduleOf(Rollout).Completion;
    const bool IsRejected =
        Rollout.Verdict == release_verdict::Worse ||
        (IsDue && Rollout.Verdict != release_verdict::Sound);
    if (IsRejected)
      Rollout.RejectedAt = Now;
  }
}

std::vector<rollout_controller::outcome_update>
rollout_controller::outcomeUpdates(steady_time Now) const {
  std::vector<outcome_update> Updates;
  for (const auto &[Service, Rollout] : Rollouts) {
    rollout_outcome Wanted = rollout_outcome::InProgress;
    if (Rollout.FinalOutcome)
      Wanted = *Rollout.FinalOutcome;
    else if (Rollout.RejectedAt)
      Wanted = rollout_outcome::RolledBack;
    else if (elapsed(Rollout, Now) >= scheduleOf(Rollout).Completion)
      Wanted = rollout_outcome::Completed;
    if (Rollout.PublishedOutcome == Wanted)
      continue;
    Updates.push_back({Rollout.Order, Wanted, Rollout.PublishedRevision,
                       elapsed(Rollout, Now), Rollout.Verdict});
  }
  return Updates;
}

} // namespace azurehaven
