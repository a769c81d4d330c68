#include "LibRelay/response_timing.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

} // namespace

TEST_CASE(
    "The time between events of a stream is measured from the first one") {
  response_timing Timing;
  Timing.onSent(Start, 10);
  for (int Event = 0; Event < 5; ++Event)
    Timing.onEvents(Start + milliseconds(1000 + 40 * Event));
  const auto Now = Start + milliseconds(2000);
  CHECK(Timing.latencyMs(route_kind::Stream, true, 15, Now) ==
        std::optional<double>(40));
  // Three events are too few; events of earlier attempts do not count.
  CHECK_FALSE(Timing.latencyMs(route_kind::Stream, false, 13, Now));
}

TEST_CASE(
    "A plain response's latency is its total time; a failed one has none") {
  response_timing Timing;
  Timing.onSent(Start, 0);
  const auto Now = Start + milliseconds(70);
  CHECK(Timing.latencyMs(route_kind::Idempotent, false, 0, Now) ==
        std::optional<double>(70));
  CHECK_FALSE(Timing.latencyMs(route_kind::Idempotent, true, 0, Now));
}

TEST_CASE("A new attempt restarts the measurement") {
  response_timing Timing;
  Timing.onSent(Start, 0);
  Timing.onEvents(Start);
  Timing.onSent(Start + milliseconds(500), 1);
  CHECK_FALSE(
      Timing.latencyMs(route_kind::Stream, true, 9, Start + milliseconds(900)));
}
