#include "LibBench/policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

void simulation::sendToEngine(request_state &State, std::size_t EngineIndex,
                              const version_id &Version) {
  State.EngineIndex = EngineIndex;
  State.SentAt = Now;
  State.EngineIncarnation = EngineIncarnations[EngineIndex];
  virtual_engine &Engine = Engines[EngineIndex];
  if (!Engine.isUp())
    return handleFailure(State, attempt_outcome::Failed);
  if (State.Request.Fingerprint == CrashCausingFingerprint) {
    crashEngine(EngineIndex, RestartTime);
    if (!Baseline)
      routerOf(State).addCrash(
          {CrashCausingFingerprint, Engine.parameters().Id}, Now);
    return handleFailure(State, attempt_outcome::Failed);
  }
  if (!Engine.accept({State.Request.Index, Version, State.Request.Tokens}))
    return handleFailure(State, attempt_outcome::Refused);
  startJobs(EngineIndex);
}

void simulation::handleFailure(request_state &State, attempt_outcome Outcome) {
  if (!Baseline)
    return retryOrRefuse(State, Outcome);
  // A baseline places the request again, up to three times.
  if (++State.FailedAttempts < 4)
    return placeByBaseline(State);
  refuse(State);
}

void simulation::startJobs(std::size_t EngineIndex) {
  while (auto Started = Engines[EngineIndex].startNextJob()) {
    const std::size_t Index = Started->Job.Request;
    const std::uint64_t Incarnation = EngineIncarnations[EngineIndex];
    RunningJobs[EngineIndex].insert(Index);
    States[Index].FirstTokenAt = Now + fromMilliseconds(Started->FirstTokenMs);
    Events.schedule(Now + fromMilliseconds(Started->TotalMs),
                    [this, EngineIndex, Index, Incarnation,
                     Version = Started->Job.Version] {
                      if (EngineIncarnations[EngineIndex] != Incarnation)
                        return;
                      Engines[EngineIndex].releaseSlot();
                      RunningJobs[EngineIndex].erase(Index);
                      finishJob(States[Index], Version);
                      startJobs(EngineIndex);
                    });
  }
}

void simulation::crashEngine(std::size_t EngineIndex,
                             std::chrono::nanoseconds DownTime) {
  ++EngineCrashes;
  ++EngineIncarnations[EngineIndex];
  Engines[EngineIndex] = virtual_engine(Engines[EngineIndex].parameters());
  Engines[EngineIndex].setUp(false);
  Events.schedule(Now + DownTime,
                  [this, EngineIndex] { Engines[EngineIndex].setUp(true); });
  // Both queued and running requests of the engine fail.
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    request_state &State = States[Index];
    const bool IsAffected =
        !State.IsDone && State.EngineIndex == EngineIndex &&
        State.EngineIncarnation + 1 == EngineIncarnations[EngineIndex] &&
        (State.Attempt || State.Placement) &&
        State.Request.Fingerprint != CrashCausingFingerprint;
    if (!IsAffected)
      continue;
    if (!Baseline)
      routerOf(State).addCrash(
          {State.Request.Fingerprint, Engines[EngineIndex].parameters().Id},
          Now);
    handleFailure(State, attempt_outcome::Failed);
  }
  RunningJobs[EngineIndex].clear();
}

double simulation::costOf(const version_id &Version,
                          const request_state &State) const {
  const model_version &Declared = Workload.Configuration.Versions.at(Version);
  constexpr double PromptTokens = 200;
  return (PromptTokens * static_cast<double>(Declared.PromptPrice.count()) +
          State.Request.Tokens *
              static_cast<double>(Declared.CompletionPrice.count())) /
         1000;
}

double simulation::trueQualityOf(const version_id &Version,
                                 const request_state &State) const {
  const true_quality &Quality =
      Workload.TrueQualities.at({Version, State.Request.Class});
  return State.IsEasy ? Quality.EasyQuality : Quality.HardQuality;
}

double simulation::sampleConfidence(const request_state &State) {
  return State.IsEasy ? 0.6 + 0.4 * uniform() : 0.2 + 0.6 * uniform();
}

void simulation::finishJob(request_state &State, const version_id &Version) {
  const double Confidence = sampleConfidence(State);
  const double TrueQuality = trueQualityOf(Version, State);
  State.Cost += costOf(Version, State);
  std::optional<double> MinimumConfidence;
  if (Baseline)
    MinimumConfidence = State.Placement->MinimumConfidence;
  else {
    const double RatedConfidence = State.Role == answer_role::Direct
                                       ? Confidence
                                       : State.EscalationThreshold;
    finishAttempt(State, RatedConfidence);
    scheduleRating(State, Version, RatedConfidence, TrueQuality);
    leaveStage(State);
    MinimumConfidence = stageOf(State).MinimumConfidence;
  }
  if (MinimumConfidence && Confidence < *MinimumConfidence)
    return escalate(State);
  completeRequest(State, Version, TrueQuality, MinimumConfidence.has_value());
}

void simulation::finishAttempt(request_state &State, double Confidence) {
  attempt_report Report;
  Report.Outcome = attempt_outcome::Answered;
  Report.TimeToFirstToken = std::chrono::duration_cast<milliseconds>(
      State.FirstTokenAt - State.SentAt);
  Report.TotalTime =
      std::chrono::duration_cast<milliseconds>(Now - State.SentAt);
  Report.PromptTokens = token_count(200);
  Report.CompletionTokens =
      token_count(static_cast<std::int64_t>(State.Request.Tokens));
  Report.Confidence = Confidence;
  Report.Role = State.Role;
  Report.MayHaveRun = true;
  routerOf(State).finishAttempt(*State.Attempt, classOf(State), Report, Now);
  State.Attempt.reset();
}

void simulation::escalate(request_state &State) {
  if (!Baseline) {
    State.EscalationThreshold = *stageOf(State).MinimumConfidence;
    State.Role = answer_role::Escalated;
    ++State.Stage;
    return enterStage(State);
  }
  const version_id Next = State.Placement->EscalationVersion;
  const std::size_t Engine = Baseline->chooseEngine(Next, baselineView());
  if (Engine == Engines.size())
    return refuse(State);
  State.Placement = placement{Next, Engine, std::nullopt, {}};
  sendToEngine(State, Engine, Next);
}

} // namespace azurehaven::bench
