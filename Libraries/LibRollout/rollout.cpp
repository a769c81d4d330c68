#include "LibRollout/rollout.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Fractions of the exposure share that a trial uses, at least and at most. A
/// larger trial finds faults sooner; a gradual shift needs its part as well.
constexpr double MinimumTrialFraction = 0.15;
constexpr double MaximumGradualTrialFraction = 0.6;
constexpr double MaximumImmediateTrialFraction = 1;
/// The fraction up to which a larger trial is worth a later shift.
constexpr double SufficientTrialFraction = 0.3;
/// The trial's share is raised in steps of this fraction of the exposure
/// share, so that the VMs seldom have something to agree on.
constexpr double TrialShareStep = 0.05;
/// The share is not raised when less time than this is left to the trial.
constexpr milliseconds MinimumRaisedTime{2000};

/// A route's share is raised once the trial should have got so many of its
/// requests and has got less than this part of them.
constexpr double ExpectedRouteRequests = 4;
constexpr double MissedRoutePart = 1.0 / 3;
/// A raised share, as a multiple of the trial's share.
constexpr double RaisedRouteFactor = 3;

/// Engines that start without cached prompts read more of each prompt than
/// those of the old release.
constexpr double ColdCacheFactor = 1.5;
/// After this time, the trial of a plain service goes on with its next
/// endpoints: a fault of one of them must not be taken for the release's.
constexpr milliseconds TrialTurn{500};

/// A postponement is decided so long before the shift, so that all VMs know of
/// it before the first of them shifts.
constexpr milliseconds PostponementNotice{1000};
constexpr milliseconds PostponementStep{300};

/// After this time, a VM that has just started has received the counts of all
/// others; see peer_state_sync.
constexpr milliseconds CountsArrivalTime{2500};

/// Sessions leave a rejected target after this time though its roll-back could
/// not be published: callers must not depend on the store to get away from it.
constexpr milliseconds UnpublishedRejectionLimit{3000};

/// The outcomes of a release are judged if so large a part of its known
/// requests is among them; earlier builds tell of none.
constexpr double MinimumEvidencePart = 0.7;
/// A release that no VM could judge by most of the evidence is rejected after
/// this time beyond the limit: those that can judge it have done so.
constexpr milliseconds UnjudgedRejectionDelay{1000};

/// Fraction of the prompts that have moved to the target.
double shiftedFraction(const rollout_schedule &Schedule, milliseconds Elapsed) {
  if (Elapsed < Schedule.ShiftStart)
    return 0;
  if (Elapsed >= Schedule.ShiftEnd)
    return 1;
  const std::chrono::duration<double> SinceStart =
      Elapsed - Schedule.ShiftStart;
  return SinceStart / (Schedule.ShiftEnd - Schedule.ShiftStart);
}

/// The trial's share if the shift takes place as scheduled.
double plannedShare(const exposure_budget &Budget,
                    const rollout_schedule &Schedule) {
  return Budget.plannedShare(Schedule.fullExposure(),
                             Schedule.ShiftStart - Schedule.TrialStart);
}

/// The same, if the trial uses up from now on what the target has not got.
double remainingShare(const exposure_budget &Budget,
                      const rollout_schedule &Schedule, milliseconds Elapsed) {
  return Budget.remainingShare(Schedule.fullExposure(),
                               Schedule.ShiftStart -
                                   std::max(Elapsed, Schedule.TrialStart));
}

/// Attempts by route, to the target and in all.
std::map<std::string, exposure_counts>
attemptsByRoute(const service_totals &Totals, const service_totals &Before,
                const std::string &Target) {
  std::map<std::string, exposure_counts> Attempts;
  for (const auto &[Key, Counts] : Totals) {
    const auto Known = Before.find(Key);
    const std::uint32_t Since =
        Counts.Attempts - (Known == Before.end() ? 0 : Known->second.Attempts);
    Attempts[Key.Route].All += Since;
    if (Key.Release == Target)
      Attempts[Key.Route].Target += Since;
  }
  return Attempts;
}

/// What has been counted of the release on all routes.
release_counts countsSince(const service_totals &Totals,
                           const service_totals &Before,
                           const std::string &Release) {
  release_counts Since;
  for (const auto &[Key, Counts] : Totals) {
    if (Key.Release != Release)
      continue;
    Since += Counts;
    const auto Known = Before.find(Key);
    if (Known != Before.end())
      Since.Requests -= Known->second.Requests;
  }
  return Since;
}

exposure_counts sumOf(const std::map<std::string, exposure_counts> &Attempts) {
  exposure_counts Sum;
  for (const auto &[Route, Counts] : Attempts) {
    Sum.All += Counts.All;
    Sum.Target += Counts.Target;
  }
  return Sum;
}

} // namespace

rollout::rollout(const rollout_order &Order, const exposure_limits &Exposure,
                 milliseconds Elapsed, start_source Source, steady_time Now)
    : Order(Order), BeganAt(Now - Elapsed), Source(Source),
      HasSeenOrder(Source == start_source::Observed), JoinedAt(Now) {
  Agreement.TrialShare = Exposure.Share * MinimumTrialFraction;
}

milliseconds rollout::elapsed(steady_time Now) const {
  return std::chrono::duration_cast<milliseconds>(Now - BeganAt);
}

rollout_schedule rollout::unpostponedSchedule() const {
  return scheduleFor(Order.TimeLimit, Shift);
}

rollout_schedule rollout::schedule() const {
  return unpostponedSchedule().withShiftAt(Agreement.ShiftStart);
}

bool rollout::isShiftPostponed() const {
  return Agreement.ShiftStart > unpostponedSchedule().ShiftStart;
}

rollout_phase rollout::phase(steady_time Now) const {
  // The endpoints of the old release are gone once completion is published,
  // whatever this VM has found.
  if (Agreement.Outcome == rollout_outcome::Completed)
    return rollout_phase::Completed;
  const bool IsOverdue =
      RejectedAt && Now - *RejectedAt >= UnpublishedRejectionLimit;
  if (Agreement.Outcome == rollout_outcome::RolledBack || IsOverdue)
    return rollout_phase::RolledBack;
  if (Agreement.IsRejected)
    return rollout_phase::Rejected;
  const bool IsShifting = elapsed(Now) >= schedule().ShiftStart &&
                          Judgement.Coverage.isSufficient();
  return IsShifting ? rollout_phase::Shift : rollout_phase::Trial;
}

release_rule rollout::rule(const std::string &Route, steady_time Now) const {
  const rollout_schedule Schedule = schedule();
  const milliseconds Elapsed = elapsed(Now);
  release_rule Rule;
  Rule.Phase = phase(Now);
  Rule.Target = Order.Target;
  Rule.Since = BeganAt;
  if (Elapsed >= Schedule.TrialStart)
    Rule.TrialShare = Agreement.trialShareOf(Route);
  Rule.TrialEndpointShare =
      Agreement.TrialShare *
      (Shift == shift_kind::Gradual ? ColdCacheFactor : 1);
  if (Shift == shift_kind::Immediate)
    Rule.TrialRotation = static_cast<std::size_t>(Elapsed / TrialTurn);
  if (Rule.Phase != rollout_phase::Trial)
    Rule.ShiftedShare = shiftedFraction(Schedule, Elapsed);
  Rule.PinsSessions = Elapsed < Schedule.SessionMove;
  return Rule;
}

rollout_outcome rollout::wantedOutcome(steady_time Now) const {
  if (Agreement.Outcome)
    return *Agreement.Outcome;
  if (Agreement.IsRejected)
    return rollout_outcome::RolledBack;
  const bool MayComplete = mayDecide() && Judgement.Coverage.isSufficient() &&
                           Judgement.Verdict == release_verdict::Sound;
  const bool IsDue = elapsed(Now) >= schedule().Completion;
  return IsDue && MayComplete ? rollout_outcome::Completed
                              : rollout_outcome::InProgress;
}

void rollout::setOutcome(rollout_outcome Outcome) {
  if (!Agreement.Outcome && Outcome != rollout_outcome::InProgress)
    Agreement.Outcome = Outcome;
}

rollout_state rollout::state(steady_time Now) const {
  return {Order.Target, Order.Revision.Number, elapsed(Now), Source, Agreement};
}

void rollout::join(const rollout_state &Other, steady_time Now) {
  const bool IsSame = Other.Target == Order.Target &&
                      Other.OrderNumber == Order.Revision.Number;
  if (!IsSame)
    return;
  joinStart(Other, Now);
  join(Other.Agreement, Now);
}

void rollout::join(const rollout_agreement &Other, steady_time Now) {
  Agreement.join(Other);
  if (Agreement.IsRejected && !RejectedAt)
    RejectedAt = Now;
}

void rollout::joinStart(const rollout_state &Other, steady_time Now) {
  if (Other.Source == start_source::Estimated &&
      Source == start_source::Observed)
    return;
  const steady_time OtherBeganAt = Now - Other.Elapsed;
  const bool IsBetter = Other.Source == start_source::Observed &&
                        Source == start_source::Estimated;
  // Nobody can observe the order before it is written.
  BeganAt = IsBetter ? OtherBeganAt : std::min(BeganAt, OtherBeganAt);
  Source = Other.Source;
}

release_verdict rollout::verdictFrom(const release_counts &Counted,
                                     release_verdict CountVerdict) const {
  const release_findings &Findings = Judgement.Findings;
  if (Findings.Requests < MinimumEvidencePart * Counted.Requests ||
      Findings.Requests == 0)
    return CountVerdict;
  const release_verdict Verdict = verdictOf(Findings);
  // The counts do not tell a faulty endpoint from a faulty release.
  if (CountVerdict == release_verdict::Worse)
    return Verdict == release_verdict::Suspect ? CountVerdict : Verdict;
  return CountVerdict == release_verdict::Unproven
             ? std::max(CountVerdict, Verdict)
             : Verdict;
}

void rollout::observe(const service_totals &Totals,
                      const release_evidence &Evidence, steady_time Now) {
  if (!TotalsBefore)
    TotalsBefore = Totals;
  const bool HasCounts = HasSeenOrder || Now - JoinedAt >= CountsArrivalTime;
  if (!Reference && HasCounts)
    Reference = {Totals, Now};
  release_verdict &Verdict = Judgement.Verdict;
  Verdict = judgeRelease(Totals, *TotalsBefore, Order.Target);
  if (Shift != shift_kind::Immediate)
    return;
  const evidence_totals Outcomes = Evidence.totals(Order.Service);
  Windows.observe(Outcomes, Now);
  Judgement.Findings =
      weighEvidence(Outcomes, Windows.starts(Now), Order.Target);
  Verdict =
      verdictFrom(countsSince(Totals, *TotalsBefore, Order.Target), Verdict);
}

std::optional<exposure_budget> rollout::budget(const service_totals &Totals,
                                               const exposure_limits &Exposure,
                                               std::uint32_t InFlight,
                                               steady_time Now) const {
  if (!Reference)
    return std::nullopt;
  exposure_counts Sent =
      sumOf(attemptsByRoute(Totals, Reference->Totals, Order.Target));
  Sent.InFlight = InFlight;
  const exposure_budget Budget(
      Exposure, Sent,
      std::chrono::duration_cast<milliseconds>(Now - Reference->At),
      Order.TimeLimit - elapsed(Now));
  return Budget.hasRate() ? std::optional(Budget) : std::nullopt;
}

void rollout::raiseShares(const exposure_budget &Budget,
                          const exposure_limits &Exposure,
                          const service_totals &Totals, steady_time Now) {
  const rollout_schedule Schedule = schedule();
  const milliseconds Elapsed = elapsed(Now);
  // A session that is new to one VM may have begun elsewhere a moment ago. With
  // a raised share it would move, which it must not do in the first half.
  const bool IsBeforeTrial = Elapsed < Schedule.TrialStart;
  const bool IsInSecondHalf = Elapsed >= Schedule.SessionMove &&
                              Elapsed < Schedule.ShiftStart - MinimumRaisedTime;
  if (IsBeforeTrial || IsInSecondHalf)
    raiseTrialShare(Budget, Exposure, Now);
  if (IsInSecondHalf)
    raiseRouteShares(Totals);
}

double rollout::gradualTrialShare(const exposure_budget &Budget,
                                  const exposure_limits &Exposure) const {
  const rollout_schedule Schedule = schedule();
  // A trial that tells something goes before the shift.
  const rollout_schedule Latest = Schedule.withShiftAt(Schedule.latestShift());
  const double Planned =
      std::max(plannedShare(Budget, Schedule),
               std::min(plannedShare(Budget, Latest),
                        Exposure.Share * SufficientTrialFraction));
  return std::min(Planned, Exposure.Share * MaximumGradualTrialFraction);
}

double rollout::immediateTrialShare(const exposure_budget &Budget,
                                    const exposure_limits &Exposure,
                                    steady_time Now) const {
  return std::min(remainingShare(Budget, schedule(), elapsed(Now)),
                  Exposure.Share * MaximumImmediateTrialFraction);
}

void rollout::raiseTrialShare(const exposure_budget &Budget,
                              const exposure_limits &Exposure,
                              steady_time Now) {
  const double Allowed = Shift == shift_kind::Gradual
                             ? gradualTrialShare(Budget, Exposure)
                             : immediateTrialShare(Budget, Exposure, Now);
  const double Step = Exposure.Share * TrialShareStep;
  if (Allowed > 0 && Step > 0)
    Agreement.raiseTrialShare(std::floor(Allowed / Step) * Step);
}

void rollout::raiseRouteShares(const service_totals &Totals) {
  for (const auto &[Route, Counts] :
       attemptsByRoute(Totals, Reference->Totals, Order.Target)) {
    const double Expected = Agreement.TrialShare * Counts.All;
    const bool IsMissed = Expected >= ExpectedRouteRequests &&
                          Counts.Target < MissedRoutePart * Expected;
    if (IsMissed)
      Agreement.raiseRouteShare(Route,
                                RaisedRouteFactor * Agreement.TrialShare);
  }
}

void rollout::postponeShift(const std::optional<exposure_budget> &Budget,
                            steady_time Now) {
  const rollout_schedule Schedule = schedule();
  const milliseconds Elapsed = elapsed(Now);
  const bool IsDue = Elapsed >= Schedule.ShiftStart - PostponementNotice &&
                     Elapsed < Schedule.ShiftStart;
  if (!IsDue)
    return;
  const milliseconds Next = Elapsed + PostponementNotice + PostponementStep;
  if (Judgement.Verdict == release_verdict::Suspect)
    return Agreement.postponeShift(Next);
  // A sound target is completed in time even if its exposure leaves no room for
  // a gradual shift.
  const bool MayWait = Schedule.ShiftStart < Schedule.latestShift();
  if (MayWait && Budget && !Budget->allowsAll(Schedule.fullExposure()))
    Agreement.postponeShift(std::min(Next, Schedule.latestShift()));
}

void rollout::reject(steady_time Now) {
  Agreement.IsRejected = true;
  RejectedAt = Now;
}

bool rollout::isLate(steady_time Now) const {
  return elapsed(Now) >= unpostponedSchedule().Completion;
}

bool rollout::mustReject(steady_time Now) const {
  if (Judgement.Verdict == release_verdict::Worse)
    return true;
  if (Judgement.Coverage.isSufficient())
    return isLate(Now) && Judgement.Verdict != release_verdict::Sound;
  return elapsed(Now) >= Order.TimeLimit + UnjudgedRejectionDelay;
}

void rollout::judge(const release_statistics &Statistics,
                    const rollout_surroundings &Surroundings,
                    const exposure_limits &Exposure, steady_time Now) {
  if (!isUndecided())
    return;
  if (Surroundings.PlainServices.contains(Order.Service))
    Shift = shift_kind::Immediate;
  const service_totals Totals = Statistics.totals(Order.Service);
  Judgement.Coverage = Surroundings.Coverage;
  observe(Totals, Statistics.evidence(), Now);
  const auto InFlight = Surroundings.InFlight.find(Order.Service);
  const auto Budget = budget(
      Totals, Exposure,
      InFlight == Surroundings.InFlight.end() ? 0 : InFlight->second, Now);
  if (Budget)
    raiseShares(*Budget, Exposure, Totals, Now);
  postponeShift(Budget, Now);
  if (mayDecide() && mustReject(Now))
    reject(Now);
}

} // namespace azurehaven
