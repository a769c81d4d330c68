#include "LibRelay/attempt_recorder.h"

#include <cmath>

namespace azurehaven {

namespace {

std::string textOf(std::optional<double> Ms) {
  return Ms ? std::to_string(std::llround(*Ms)) : "unknown";
}

} // namespace

void attempt_recorder::onSent(const endpoint_descriptor &NewEndpoint,
                              const model_id &NewModel, bool NewIsPromptCached,
                              std::uint64_t KnownEvents, steady_time Now) {
  Endpoint = NewEndpoint;
  Model = NewModel;
  IsPromptCached = NewIsPromptCached;
  EventCount = KnownEvents;
  Timing.onSent(Now, KnownEvents);
  IsRunning = true;
  IsCounted = false;
}

void attempt_recorder::onEvents(std::uint64_t NewEventCount, steady_time Now) {
  EventCount = NewEventCount;
  Timing.onEvents(Now);
}

response_latency attempt_recorder::comparable(response_latency Latency) const {
  const auto Objective =
      static_cast<double>(Admitted.Route->LatencyObjective.count());
  // No prompt takes that long to read.
  const bool IsBeyondObjective =
      Objective > 0 && Latency.HeadMs && *Latency.HeadMs > Objective;
  if (!IsPromptCached && !IsBeyondObjective)
    Latency.HeadMs.reset();
  return Latency;
}

const latency_baseline &attempt_recorder::headBaseline() const {
  // On a route whose prompts are hardly ever cached, only those that were not
  // tell what is usual.
  const bool IsKnown = IsPromptCached || Fleet.HeadLatencyBaseline.meanMs(
                                             Admitted.Route->Name, Model);
  return IsKnown ? Fleet.HeadLatencyBaseline
                 : Fleet.UncachedHeadLatencyBaseline;
}

bool attempt_recorder::isSlow(const response_latency &Latency) const {
  const std::string &Route = Admitted.Route->Name;
  return (Latency.HeadMs &&
          headBaseline().isSlow(Route, Model, *Latency.HeadMs)) ||
         (Latency.BodyMs &&
          Fleet.LatencyBaseline.isSlow(Route, Model, *Latency.BodyMs));
}

void attempt_recorder::logSlow(const response_latency &Latency) const {
  const std::string &Route = Admitted.Route->Name;
  Log.write(
      log_level::Info, "attempt_slow",
      {{"request", Admitted.Request.Id.text()},
       {"route", Route},
       {"endpoint", Endpoint.Id.text()},
       {"release", Endpoint.Release},
       {"model", Model.text()},
       {"head_ms", textOf(Latency.HeadMs)},
       {"usual_head_ms", textOf(headBaseline().meanMs(Route, Model))},
       {"body_ms", textOf(Latency.BodyMs)},
       {"usual_body_ms", textOf(Fleet.LatencyBaseline.meanMs(Route, Model))}});
}

void attempt_recorder::add(const release_counts &Counts) {
  Fleet.ReleaseStatistics.addLocal(
      {Endpoint.Service, Endpoint.Release, Admitted.Route->Name}, Counts);
}

void attempt_recorder::addEvidence(bool HasFailed,
                                   const response_latency &Latency,
                                   steady_time Now) {
  const bool IsJudged = Admitted.Route->Kind != route_kind::Stream &&
                        Fleet.Rollouts.isUndecided(Endpoint.Service);
  if (!IsJudged)
    return;
  release_evidence &Evidence = Fleet.ReleaseStatistics.evidence();
  const evidence_key Key{Endpoint.Service, Endpoint.Release,
                         Admitted.Route->Name, endpointHash(Endpoint.Id)};
  if (HasFailed && Admitted.Evidence)
    return Admitted.Evidence->addFailure(Key);
  if (HasFailed)
    return Evidence.addFailure(Key, Now);
  if (Admitted.Evidence)
    Admitted.Evidence->addSuccess();
  if (Latency.BodyMs)
    Evidence.addSuccess(Key, *Latency.BodyMs, Now);
}

void attempt_recorder::record(bool HasFailed, steady_time Now) {
  if (!IsRunning)
    return;
  IsRunning = false;
  const response_latency Full =
      Timing.latency(Admitted.Route->Kind, HasFailed, EventCount, Now);
  const response_latency Latency = comparable(Full);
  release_counts Counts;
  Counts.Failures = HasFailed;
  if (!IsCounted) {
    Counts.Requests = 1;
    Counts.Slow = isSlow(Latency);
    if (Counts.Slow > 0)
      logSlow(Latency);
  }
  add(Counts);
  if (!IsCounted)
    addEvidence(HasFailed, Full, Now);
  learn(Full, Now);
}

void attempt_recorder::learn(const response_latency &Latency, steady_time Now) {
  // A release that is being rolled out does not change the baseline.
  const release_rule Rule = Fleet.Rollouts.ruleFor(Endpoint.Service, Now);
  if (Rule.Phase != rollout_phase::None && Endpoint.Release == Rule.Target)
    return;
  const std::string &Route = Admitted.Route->Name;
  if (Latency.HeadMs && IsPromptCached)
    Fleet.HeadLatencyBaseline.add(Route, Model, *Latency.HeadMs);
  if (Latency.HeadMs && !IsPromptCached)
    Fleet.UncachedHeadLatencyBaseline.add(Route, Model, *Latency.HeadMs);
  if (Latency.BodyMs)
    Fleet.LatencyBaseline.add(Route, Model, *Latency.BodyMs);
}

void attempt_recorder::recordIfSlow(steady_time Now) {
  if (!IsRunning || IsCounted)
    return;
  const response_latency Latency =
      comparable(Timing.latencySoFar(Admitted.Route->Kind, EventCount, Now));
  if (!isSlow(Latency))
    return;
  logSlow(Latency);
  IsCounted = true;
  release_counts Counts;
  Counts.Requests = 1;
  Counts.Slow = 1;
  add(Counts);
  addEvidence(/*HasFailed=*/false, Latency, Now);
}

} // namespace azurehaven
