#include "LibBench/policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

void simulation::deliver(flow &Flow, std::size_t EngineIndex,
                         const version_id &Version) {
  Flow.Engine = EngineIndex;
  Flow.SentAt = Now;
  Flow.EngineRun = EngineRuns[EngineIndex];
  virtual_engine &Engine = Engines[EngineIndex];
  if (!Engine.isUp())
    return fail(Flow, attempt_outcome::Failed);
  if (Flow.Request.Fingerprint == PoisonFingerprint) {
    breakDown(EngineIndex, RestartTime);
    if (!Baseline)
      routerOf(Flow).addCrash({PoisonFingerprint, Engine.truth().Id}, Now);
    return fail(Flow, attempt_outcome::Failed);
  }
  if (!Engine.accept({Flow.Request.Index, Version, Flow.Request.Tokens}))
    return fail(Flow, attempt_outcome::Refused);
  startJobs(EngineIndex);
}

void simulation::fail(flow &Flow, attempt_outcome Outcome) {
  if (!Baseline)
    return attemptFailed(Flow, Outcome);
  // A baseline retries a few times wherever it would go next.
  if (++Flow.Tries < 4)
    return placeByBaseline(Flow);
  refuse(Flow);
}

void simulation::startJobs(std::size_t EngineIndex) {
  while (auto Started = Engines[EngineIndex].startNext()) {
    const std::size_t Index = Started->Job.Request;
    const std::uint64_t Run = EngineRuns[EngineIndex];
    RunningJobs[EngineIndex].insert(Index);
    Flows[Index].FirstTokenAt = Now + millis(Started->FirstTokenMs);
    Events.schedule(
        Now + millis(Started->WholeMs),
        [this, EngineIndex, Index, Run, Version = Started->Job.Version] {
          if (EngineRuns[EngineIndex] != Run)
            return;
          Engines[EngineIndex].finishOne();
          RunningJobs[EngineIndex].erase(Index);
          finishJob(Flows[Index], Version);
          startJobs(EngineIndex);
        });
  }
}

void simulation::breakDown(std::size_t EngineIndex,
                           std::chrono::nanoseconds DownTime) {
  ++Breakdowns;
  ++EngineRuns[EngineIndex];
  Engines[EngineIndex] = virtual_engine(Engines[EngineIndex].truth());
  Engines[EngineIndex].setUp(false);
  Events.schedule(Now + DownTime,
                  [this, EngineIndex] { Engines[EngineIndex].setUp(true); });
  // Queued and running work alike is cut.
  for (std::size_t Index = 0; Index < Flows.size(); ++Index) {
    flow &Flow = Flows[Index];
    const bool IsThere = !Flow.IsDone && Flow.Engine == EngineIndex &&
                         Flow.EngineRun + 1 == EngineRuns[EngineIndex] &&
                         (Flow.Attempt || Flow.Placed) &&
                         Flow.Request.Fingerprint != PoisonFingerprint;
    if (!IsThere)
      continue;
    if (!Baseline)
      routerOf(Flow).addCrash(
          {Flow.Request.Fingerprint, Engines[EngineIndex].truth().Id}, Now);
    fail(Flow, attempt_outcome::Failed);
  }
  RunningJobs[EngineIndex].clear();
}

double simulation::costOf(const version_id &Version, const flow &Flow) const {
  const model_version &Declared = Load.Configuration.Versions.at(Version);
  constexpr double PromptTokens = 200;
  return (PromptTokens * static_cast<double>(Declared.PromptPrice.count()) +
          Flow.Request.Tokens *
              static_cast<double>(Declared.CompletionPrice.count())) /
         1000;
}

double simulation::goodnessOf(const version_id &Version,
                              const flow &Flow) const {
  const version_truth &Truth = Load.Truths.at({Version, Flow.Request.Class});
  return Flow.IsEasy ? Truth.EasyQuality : Truth.HardQuality;
}

double simulation::drawConfidence(const flow &Flow) {
  return Flow.IsEasy ? 0.6 + 0.4 * uniform() : 0.2 + 0.6 * uniform();
}

void simulation::finishJob(flow &Flow, const version_id &Version) {
  const double Confidence = drawConfidence(Flow);
  const double Goodness = goodnessOf(Version, Flow);
  Flow.Cost += costOf(Version, Flow);
  std::optional<double> Accept;
  if (Baseline)
    Accept = Flow.Placed->AcceptConfidence;
  else {
    const double Rated =
        Flow.Role == answer_role::Direct ? Confidence : Flow.AskedConfidence;
    finishAttempt(Flow, Rated);
    scheduleRating(Flow, Version, Rated, Goodness);
    leaveStage(Flow);
    Accept = stageOf(Flow).MinimumConfidence;
  }
  if (Accept && Confidence < *Accept)
    return escalate(Flow);
  answer(Flow, Version, Goodness, Accept.has_value());
}

void simulation::finishAttempt(flow &Flow, double Confidence) {
  attempt_report Report;
  Report.Outcome = attempt_outcome::Answered;
  Report.TimeToFirstToken =
      std::chrono::duration_cast<milliseconds>(Flow.FirstTokenAt - Flow.SentAt);
  Report.TotalTime =
      std::chrono::duration_cast<milliseconds>(Now - Flow.SentAt);
  Report.PromptTokens = token_count(200);
  Report.CompletionTokens =
      token_count(static_cast<std::int64_t>(Flow.Request.Tokens));
  Report.Confidence = Confidence;
  Report.Role = Flow.Role;
  routerOf(Flow).finishAttempt(*Flow.Attempt, Flow.Request.Class, Report, Now);
  Flow.Attempt.reset();
}

void simulation::escalate(flow &Flow) {
  if (!Baseline) {
    Flow.AskedConfidence = *stageOf(Flow).MinimumConfidence;
    Flow.Role = answer_role::Escalated;
    ++Flow.Stage;
    return enterStage(Flow);
  }
  const version_id Next = Flow.Placed->Next;
  const std::size_t Engine = Baseline->engineFor(Next, view());
  if (Engine == Engines.size())
    return refuse(Flow);
  Flow.Placed = placement{Next, Engine, std::nullopt, {}};
  deliver(Flow, Engine, Next);
}

} // namespace azurehaven::bench
