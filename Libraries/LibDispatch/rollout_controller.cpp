#include "LibDispatch/rollout_controller.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Fraction of the allowed exposure that a trial uses. The rest remains for the
/// shift, which reveals a release that fails only under load.
constexpr double TrialExposureFraction = 0.6;
/// Fractions of the roll-out's time limit. Sessions keep their release in the
/// first half. The shift then moves a growing share of the requests. Completion
/// comes early enough for streams on the old release to finish.
constexpr double SessionMoveProgress = 0.52;
constexpr double ShiftStartProgress = 0.55;
constexpr double ShiftEndProgress = 0.72;
constexpr double CompletionProgress = 0.87;

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

release_choice chooseRelease(const release_rule &Rule,
                             const std::optional<std::string> &Pinned,
                             double Sample) {
  const bool IsOnTarget = Pinned && *Pinned == Rule.Target;
  switch (Rule.Phase) {
  case rollout_phase::None:
    return release_choice::Any;
  case rollout_phase::Completed:
    return release_choice::Target;
  case rollout_phase::RolledBack:
    return release_choice::NotTarget;
  case rollout_phase::Trial:
  case rollout_phase::Shift:
    break;
  }
  if (IsOnTarget)
    return release_choice::Target;
  if (Pinned && Rule.PinsSessions)
    return release_choice::NotTarget;
  return Sample < Rule.TargetShare ? release_choice::Target
                                   : release_choice::NotTarget;
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

double rollout_controller::progress(const rollout &Rollout,
                                    steady_time Now) const {
  const auto Elapsed =
      std::chrono::duration<double, std::milli>(Now - Rollout.BeganAt).count();
  return Elapsed / static_cast<double>(std::max<std::int64_t>(
                       Rollout.Order.TimeLimit.count(), 1));
}

bool rollout_controller::isAnyUndecided() const {
  return std::any_of(Rollouts.begin(), Rollouts.end(), [](const auto &Entry) {
    return !Entry.second.FinalOutcome && !Entry.second.IsRejected;
  });
}

release_rule rollout_controller::ruleFor(const service_id &Service,
                                         steady_time Now) const {
  auto Found = Rollouts.find(Service);
  if (Found == Rollouts.end())
    return {};
  const rollout &Rollout = Found->second;
  release_rule Rule;
  Rule.Target = Rollout.Order.Target;
  const double Progress = progress(Rollout, Now);
  // The endpoints of the old release are gone once completion is published,
  // whatever this VM has found.
  if (Rollout.FinalOutcome == rollout_outcome::Completed)
    Rule.Phase = rollout_phase::Completed;
  else if (Rollout.FinalOutcome == rollout_outcome::RolledBack ||
           Rollout.IsRejected)
    Rule.Phase = rollout_phase::RolledBack;
  else if (Progress >= ShiftStartProgress)
    Rule.Phase = rollout_phase::Shift;
  else
    Rule.Phase = rollout_phase::Trial;
  // The target's engines start without cached prompts. A gradual shift lets the
  // engines of the old release serve requests while the new ones fill their
  // caches.
  const double ShiftFraction = std::clamp(
      (Progress - ShiftStartProgress) / (ShiftEndProgress - ShiftStartProgress),
      0.0, 1.0);
  const double Trial = ExposureShare * TrialExposureFraction;
  Rule.TargetShare = Trial + ShiftFraction * (1 - Trial);
  Rule.PinsSessions = Progress < SessionMoveProgress;
  return Rule;
}

void rollout_controller::judge(const release_statistics &Statistics,
                               steady_time Now) {
  for (auto &[Service, Rollout] : Rollouts) {
    if (Rollout.FinalOutcome || Rollout.IsRejected)
      continue;
    const service_totals Totals = Statistics.totals(Service);
    if (!Rollout.TotalsBefore)
      Rollout.TotalsBefore = Totals;
    Rollout.Verdict =
        judgeRelease(Totals, *Rollout.TotalsBefore, Rollout.Order.Target);
    const bool IsDue = progress(Rollout, Now) >= CompletionProgress;
    Rollout.IsRejected = Rollout.Verdict == release_verdict::Worse ||
                         (IsDue && Rollout.Verdict != release_verdict::Sound);
  }
}

std::vector<rollout_controller::outcome_update>
rollout_controller::outcomeUpdates(steady_time Now) const {
  std::vector<outcome_update> Updates;
  for (const auto &[Service, Rollout] : Rollouts) {
    rollout_outcome Wanted = rollout_outcome::InProgress;
    if (Rollout.FinalOutcome)
      Wanted = *Rollout.FinalOutcome;
    else if (Rollout.IsRejected)
      Wanted = rollout_outcome::RolledBack;
    else if (progress(Rollout, Now) >= CompletionProgress)
      Wanted = rollout_outcome::Completed;
    if (Rollout.PublishedOutcome == Wanted)
      continue;
    Updates.push_back(
        {Rollout.Order, Wanted, Rollout.PublishedRevision,
         std::chrono::duration_cast<milliseconds>(Now - Rollout.BeganAt),
         Rollout.Verdict});
  }
  return Updates;
}

} // namespace azurehaven
