#include "LibRollout/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace azurehaven {

namespace {

/// The other VMs are told of a decided roll-out until this long after its time
/// limit.
constexpr milliseconds DecidedNoticeTime{10000};
/// An outcome that another VM has told of is read from the store within this
/// time, unless the store has lost it.
constexpr milliseconds OutcomeArrivalTime{3000};
/// The endpoints of a release leave soon after its roll-back: those of earlier
/// ones are gone.
constexpr std::size_t MaximumWithdrawn = 16;

/// A rejected target may be replaced before its roll-back is published.
bool wasRolledBack(const rollout_agreement &Agreement) {
  return Agreement.Outcome ? *Agreement.Outcome == rollout_outcome::RolledBack
                           : Agreement.IsRejected;
}

} // namespace

bool rollout_controller::isRepeated(const rollout &Rollout,
                                    const rollout_order &Order,
                                    order_origin Origin) {
  switch (Origin) {
  case order_origin::Written:
    return false;
  case order_origin::MaybeRepeated:
    return Rollout.order().Target == Order.Target;
  case order_origin::MaybeCopied:
    return true;
  }
  return false;
}

void rollout_controller::onOrder(const rollout_order &Order,
                                 order_origin Origin,
                                 std::optional<milliseconds> Elapsed,
                                 steady_time Now) {
  auto Known = Rollouts.find(Order.Service);
  if (Known != Rollouts.end()) {
    rollout &Rollout = Known->second.Rollout;
    if (Rollout.order().Revision >= Order.Revision)
      return;
    if (isRepeated(Rollout, Order, Origin)) {
      // The copy may still hold the order before the one that is in force.
      if (Rollout.order().Target == Order.Target)
        Rollout.renewOrder(Order.Revision);
      return applyPublishedOutcome(Known->second);
    }
    const std::string Replaced = Rollout.order().Target;
    if (wasRolledBack(Rollout.agreement()))
      withdraw(Order.Service, Replaced);
    else
      reinstate(Order.Service, Replaced);
    Rollouts.erase(Known);
  }
  reinstate(Order.Service, Order.Target);
  const start_source Source =
      Elapsed ? start_source::Estimated : start_source::Observed;
  auto &Tracked =
      Rollouts
          .emplace(Order.Service,
                   tracked_rollout{rollout(Order, Exposure,
                                           Elapsed.value_or(milliseconds(0)),
                                           Source, Now)})
          .first->second;
  applyPublishedOutcome(Tracked);
}

void rollout_controller::onStoreRestored() {
  LatestOutcomes.clear();
  for (auto &[Service, Tracked] : Rollouts) {
    Tracked.PublishedOutcome.reset();
    Tracked.PublishedRevision = {};
    Tracked.RecordedShiftStart = milliseconds(0);
    Tracked.OutcomeToldAt.reset();
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
  if (Outcome == rollout_outcome::RolledBack)
    withdraw(Service, Target);
  if (Outcome == rollout_outcome::Completed)
    reinstate(Service, Target);
  auto Found = Rollouts.find(Service);
  if (Found != Rollouts.end())
    applyPublishedOutcome(Found->second);
}

void rollout_controller::applyPublishedOutcome(tracked_rollout &Tracked) {
  const rollout_order &Order = Tracked.Rollout.order();
  auto Found = LatestOutcomes.find(Order.Service);
  if (Found == LatestOutcomes.end())
    return;
  const published_outcome &Latest = Found->second;
  Tracked.PublishedRevision = Latest.Revision;
  // An outcome published before the order belongs to an earlier roll-out.
  if (Latest.Target == Order.Target && Latest.Revision > Order.Revision)
    Tracked.PublishedOutcome = Latest.Outcome;
  const bool HadOutcome = Tracked.Rollout.agreement().Outcome.has_value();
  if (Tracked.PublishedOutcome)
    Tracked.Rollout.setOutcome(*Tracked.PublishedOutcome);
  HasNews |= HadOutcome != Tracked.Rollout.agreement().Outcome.has_value();
}

void rollout_controller::onRecordedShift(const service_id &Service,
                                         const std::string &Target,
                                         milliseconds ShiftStart,
                                         store_revision Revision,
                                         steady_time Now) {
  auto Found = Rollouts.find(Service);
  if (Found == Rollouts.end())
    return;
  const rollout_order &Order = Found->second.Rollout.order();
  if (Order.Target != Target || Order.Revision >= Revision)
    return;
  tracked_rollout &Tracked = Found->second;
  Tracked.RecordedShiftStart = std::max(Tracked.RecordedShiftStart, ShiftStart);
  rollout_agreement Recorded;
  Recorded.ShiftStart = ShiftStart;
  Tracked.Rollout.join(Recorded, Now);
}

bool rollout_controller::isAnyUndecided() const {
  return std::any_of(Rollouts.begin(), Rollouts.end(), [](const auto &Entry) {
    return Entry.second.Rollout.isUndecided();
  });
}

bool rollout_controller::isUndecided(const service_id &Service) const {
  const auto Found = Rollouts.find(Service);
  return Found != Rollouts.end() && Found->second.Rollout.isUndecided();
}

release_rule rollout_controller::ruleFor(const service_id &Service,
                                         const std::string &Route,
                                         steady_time Now) const {
  auto Found = Rollouts.find(Service);
  if (Found == Rollouts.end())
    return release_rule();
  release_rule Rule = Found->second.Rollout.rule(Route, Now);
  const auto Known = Withdrawn.find(Service);
  if (Known != Withdrawn.end())
    Rule.Withdrawn = Known->second;
  return Rule;
}

void rollout_controller::withdraw(const service_id &Service,
                                  const std::string &Release) {
  reinstate(Service, Release);
  std::vector<std::string> &Releases = Withdrawn[Service];
  if (Releases.size() == MaximumWithdrawn)
    Releases.erase(Releases.begin());
  Releases.push_back(Release);
}

void rollout_controller::reinstate(const service_id &Service,
                                   const std::string &Release) {
  std::erase(Withdrawn[Service], Release);
}

void rollout_controller::judge(const release_statistics &Statistics,
                               const rollout_surroundings &Surroundings,
                               steady_time Now) {
  for (auto &[Service, Tracked] : Rollouts) {
    const rollout_agreement Before = Tracked.Rollout.agreement();
    Tracked.Rollout.judge(Statistics, Surroundings, Exposure, Now);
    HasNews |= !(Before == Tracked.Rollout.agreement());
  }
}

std::map<service_id, rollout_state>
rollout_controller::states(steady_time Now) const {
  std::map<service_id, rollout_state> States;
  for (const auto &[Service, Tracked] : Rollouts) {
    const rollout &Rollout = Tracked.Rollout;
    const bool IsRecent =
        Rollout.elapsed(Now) < Rollout.order().TimeLimit + DecidedNoticeTime;
    if (IsRecent || !Rollout.agreement().Outcome)
      States.emplace(Service, Rollout.state(Now));
  }
  return States;
}

void rollout_controller::join(const service_id &Service,
                              const rollout_state &State, steady_time Now) {
  auto Found = Rollouts.find(Service);
  if (Found == Rollouts.end())
    return;
  tracked_rollout &Tracked = Found->second;
  const bool HadOutcome = Tracked.Rollout.agreement().Outcome.has_value();
  Tracked.Rollout.join(State, Now);
  if (!HadOutcome && Tracked.Rollout.agreement().Outcome)
    Tracked.OutcomeToldAt = Now;
}

bool rollout_controller::takeNews() { return std::exchange(HasNews, false); }

std::vector<rollout_controller::rollout_summary>
rollout_controller::summaries(steady_time Now) const {
  std::vector<rollout_summary> Summaries;
  for (const auto &[Service, Tracked] : Rollouts) {
    const rollout &Rollout = Tracked.Rollout;
    Summaries.push_back({Service, Rollout.rule({}, Now), Rollout.elapsed(Now),
                         Rollout.schedule().ShiftStart, Rollout.judgement(),
                         Rollout.isShiftPostponed()});
  }
  return Summaries;
}

bool rollout_controller::needsUpdate(const tracked_rollout &Tracked,
                                     rollout_outcome Wanted,
                                     steady_time Now) const {
  if (Wanted == rollout_outcome::InProgress &&
      Tracked.Rollout.agreement().ShiftStart > Tracked.RecordedShiftStart)
    return true;
  if (Tracked.PublishedOutcome == Wanted)
    return false;
  return !Tracked.OutcomeToldAt ||
         Now - *Tracked.OutcomeToldAt >= OutcomeArrivalTime;
}

std::vector<rollout_controller::outcome_update>
rollout_controller::outcomeUpdates(steady_time Now) const {
  std::vector<outcome_update> Updates;
  for (const auto &[Service, Tracked] : Rollouts) {
    const rollout &Rollout = Tracked.Rollout;
    const rollout_outcome Wanted = Rollout.wantedOutcome(Now);
    if (needsUpdate(Tracked, Wanted, Now))
      Updates.push_back({Rollout.order(), Wanted, Tracked.PublishedRevision,
                         Rollout.elapsed(Now), Rollout.agreement().ShiftStart,
                         Rollout.judgement()});
  }
  return Updates;
}

} // namespace azurehaven
