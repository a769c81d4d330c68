#include "LibRelay/response_timing.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// The time between events is not reported for a stream with fewer events.
constexpr std::uint64_t MinEventsForLatency = 4;

double msBetween(steady_time From, steady_time To) {
  return std::chrono::duration<double, std::milli>(To - From).count();
}

} // namespace

void response_timing::onSent(steady_time Now, std::uint64_t KnownEvents) {
  SentAt = Now;
  EventsBefore = KnownEvents;
  HeadAt.reset();
  FirstEventAt.reset();
}

void response_timing::onHead(steady_time Now) {
  if (!HeadAt)
    HeadAt = Now;
}

void response_timing::onEvents(steady_time Now) {
  LastEventAt = Now;
  if (!FirstEventAt)
    FirstEventAt = Now;
}

double response_timing::msSinceSent(steady_time Now) const {
  return msBetween(SentAt, Now);
}

response_latency response_timing::latency(route_kind Kind, bool Failed,
                                          std::uint64_t EventCount,
                                          steady_time Now) const {
  response_latency Latency;
  if (Kind != route_kind::Stream) {
    if (!Failed)
      Latency.BodyMs = msSinceSent(Now);
    return Latency;
  }
  if (HeadAt)
    Latency.HeadMs = msBetween(SentAt, *HeadAt);
  const std::uint64_t Events = EventCount - EventsBefore;
  if (FirstEventAt && Events >= MinEventsForLatency)
    Latency.BodyMs =
        msBetween(*FirstEventAt, LastEventAt) / static_cast<double>(Events - 1);
  return Latency;
}

response_latency response_timing::latencySoFar(route_kind Kind,
                                               std::uint64_t EventCount,
                                               steady_time Now) const {
  response_latency Latency;
  if (Kind != route_kind::Stream) {
    Latency.BodyMs = msSinceSent(Now);
    return Latency;
  }
  Latency.HeadMs = msBetween(SentAt, HeadAt.value_or(Now));
  // The gap after the latest event is still open.
  const std::uint64_t Gaps =
      std::max(EventCount - EventsBefore, MinEventsForLatency - 1);
  if (FirstEventAt)
    Latency.BodyMs = msBetween(*FirstEventAt, Now) / static_cast<double>(Gaps);
  return Latency;
}

} // namespace azurehaven
