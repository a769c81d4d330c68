#include "LibRelay/response_timing.h"

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
  FirstEventAt.reset();
}

void response_timing::onEvents(steady_time Now) {
  LastEventAt = Now;
  if (!FirstEventAt)
    FirstEventAt = Now;
}

double response_timing::msSinceSent(steady_time Now) const {
  return msBetween(SentAt, Now);
}

std::optional<double> response_timing::latencyMs(route_kind Kind, bool Failed,
                                                 std::uint64_t EventCount,
                                                 steady_time Now) const {
  if (Kind != route_kind::Stream)
    return Failed ? std::nullopt : std::optional(msSinceSent(Now));
  const std::uint64_t Events = EventCount - EventsBefore;
  if (!FirstEventAt || Events < MinEventsForLatency)
    return std::nullopt;
  return msBetween(*FirstEventAt, LastEventAt) /
         static_cast<double>(Events - 1);
}

} // namespace azurehaven
