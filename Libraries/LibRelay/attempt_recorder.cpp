#include "LibRelay/attempt_recorder.h"

namespace azurehaven {

void attempt_recorder::onSent(const endpoint_descriptor &NewEndpoint,
                              const model_id &NewModel,
                              std::uint64_t KnownEvents, steady_time Now) {
  Endpoint = NewEndpoint;
  Model = NewModel;
  EventCount = KnownEvents;
  Timing.onSent(Now, KnownEvents);
  IsRunning = true;
  IsCounted = false;
}

void attempt_recorder::onEvents(std::uint64_t NewEventCount, steady_time Now) {
  EventCount = NewEventCount;
  Timing.onEvents(Now);
}

bool attempt_recorder::isSlow(const response_latency &Latency) const {
  const std::string &Route = Admitted.Route->Name;
  return (Latency.HeadMs &&
          Fleet.HeadLatencyBaseline.isSlow(Route, Model, *Latency.HeadMs)) ||
         (Latency.BodyMs &&
          Fleet.LatencyBaseline.isSlow(Route, Model, *Latency.BodyMs));
}

void attempt_recorder::add(const release_counts &Counts) {
  Fleet.ReleaseStatistics.addLocal(
      {Endpoint.Service, Endpoint.Release, Admitted.Route->Name}, Counts);
}

void attempt_recorder::record(bool HasFailed, steady_time Now) {
  if (!IsRunning)
    return;
  IsRunning = false;
  const response_latency Latency =
      Timing.latency(Admitted.Route->Kind, HasFailed, EventCount, Now);
  release_counts Counts;
  Counts.Failures = HasFailed;
  if (!IsCounted) {
    Counts.Requests = 1;
    Counts.Slow = isSlow(Latency);
  }
  add(Counts);
  // A release that is being rolled out does not change the baseline.
  const release_rule Rule = Fleet.Rollouts.ruleFor(Endpoint.Service, Now);
  if (Rule.Phase != rollout_phase::None && Endpoint.Release == Rule.Target)
    return;
  const std::string &Route = Admitted.Route->Name;
  if (Latency.HeadMs)
    Fleet.HeadLatencyBaseline.add(Route, Model, *Latency.HeadMs);
  if (Latency.BodyMs)
    Fleet.LatencyBaseline.add(Route, Model, *Latency.BodyMs);
}

void attempt_recorder::recordIfSlow(steady_time Now) {
  if (!IsRunning || IsCounted)
    return;
  if (!isSlow(Timing.latencySoFar(Admitted.Route->Kind, EventCount, Now)))
    return;
  IsCounted = true;
  release_counts Counts;
  Counts.Requests = 1;
  Counts.Slow = 1;
  add(Counts);
}

} // namespace azurehaven
