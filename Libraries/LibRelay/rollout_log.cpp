#include "LibRelay/rollout_log.h"

namespace azurehaven {

namespace {

/// A verdict that stays the same is logged as often as this.
constexpr milliseconds RepeatInterval{2000};
/// One that changes to and fro is not logged more often.
constexpr milliseconds ChangeInterval{200};

std::string textOf(double Value) { return std::to_string(Value); }

} // namespace

void rollout_log::update(
    const std::vector<rollout_controller::rollout_summary> &Summaries,
    steady_time Now) {
  for (const auto &Summary : Summaries) {
    updatePhase(Summary);
    const bool IsJudged = Summary.Rule.Phase == rollout_phase::Trial ||
                          Summary.Rule.Phase == rollout_phase::Shift;
    if (IsJudged)
      updateVerdict(Summary, Now);
  }
}

void rollout_log::updatePhase(
    const rollout_controller::rollout_summary &Summary) {
  const logged_state State{Summary.Rule.Target, Summary.Rule.Phase,
                           Summary.IsShiftPostponed};
  logged_state &Logged = States[Summary.Service];
  if (Logged == State)
    return;
  Log.write(log_level::Info, "rollout_phase_changed",
            {{"service", Summary.Service.text()},
             {"target", State.Target},
             {"phase", nameOf(State.Phase)},
             {"before", nameOf(Logged.Phase)},
             {"shift_postponed", State.IsShiftPostponed ? "yes" : "no"},
             {"verdict", nameOf(Summary.Judgement.Verdict)},
             {"trial_share", textOf(Summary.Rule.TrialShare)},
             {"shift_start_ms", std::to_string(Summary.ShiftStart.count())},
             {"elapsed_ms", std::to_string(Summary.Elapsed.count())}});
  Logged = State;
}

void rollout_log::updateVerdict(
    const rollout_controller::rollout_summary &Summary, steady_time Now) {
  const rollout_judgement &Judgement = Summary.Judgement;
  logged_verdict &Logged = Verdicts[Summary.Service];
  const bool IsCovered = Judgement.Coverage.isSufficient();
  const bool HasChanged =
      Logged.Verdict != Judgement.Verdict || Logged.IsCovered != IsCovered;
  if (Now - Logged.At < (HasChanged ? ChangeInterval : RepeatInterval))
    return;
  Logged = {Judgement.Verdict, IsCovered, Now};
  writeJudgement(Summary.Service, Summary.Rule.Target, Summary.Elapsed,
                 Judgement);
}

void rollout_log::onDecided(const rollout_order &Order, milliseconds Elapsed,
                            const rollout_judgement &Judgement) const {
  writeJudgement(Order.Service, Order.Target, Elapsed, Judgement);
}

void rollout_log::writeJudgement(const service_id &Service,
                                 const std::string &Target,
                                 milliseconds Elapsed,
                                 const rollout_judgement &Judgement) const {
  const release_findings &Findings = Judgement.Findings;
  const evidence_coverage &Coverage = Judgement.Coverage;
  Log.write(log_level::Info, "rollout_judged",
            {{"service", Service.text()},
             {"target", Target},
             {"verdict", nameOf(Judgement.Verdict)},
             {"elapsed_ms", std::to_string(Elapsed.count())},
             {"vms_heard", std::to_string(Coverage.Heard)},
             {"vms", std::to_string(Coverage.Members)},
             {"oldest_ms", std::to_string(Coverage.OldestAge.count())},
             {"outcomes", std::to_string(Findings.Requests)},
             {"failures", std::to_string(Findings.Failures)},
             {"endpoints", std::to_string(Findings.Endpoints)},
             {"usual_outcomes", std::to_string(Findings.UsualRequests)},
             {"outcome_ratio", textOf(Findings.OutcomeRatio)},
             {"worse_from", textOf(WorseOutcomeRatio)},
             {"release_ratio", textOf(Findings.ReleaseRatio)},
             {"sound_to", textOf(SoundReleaseRatio)},
             {"suspect_from", textOf(SuspectReleaseRatio)}});
}

} // namespace azurehaven
