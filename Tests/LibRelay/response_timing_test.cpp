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
  CHECK(Timing.latency(route_kind::Stream, true, 15, Now).BodyMs ==
        std::optional<double>(40));
  // Three events are too few; events of earlier attempts do not count.
  CHECK_FALSE(Timing.latency(route_kind::Stream, false, 13, Now).BodyMs);
}

TEST_CASE(
    "A plain response's latency is its total time; a failed one has none") {
  response_timing Timing;
  Timing.onSent(Start, 0);
  const auto Now = Start + milliseconds(70);
  CHECK(Timing.latency(route_kind::Idempotent, false, 0, Now).BodyMs ==
        std::optional<double>(70));
  CHECK_FALSE(Timing.latency(route_kind::Idempotent, true, 0, Now).BodyMs);
}

TEST_CASE("A new attempt restarts the measurement") {
  response_timing Timing;
  Timing.onSent(Start, 0);
  Timing.onEvents(Start);
  Timing.onSent(Start + milliseconds(500), 1);
  CHECK_FALSE(
      Timing.latency(route_kind::Stream, true, 9, Start + milliseconds(900))
          .BodyMs);
}

TEST_CASE(
    "A running response is at least as slow as the time that has passed") {
  response_timing Timing;
  Timing.onSent(Start, 0);
  const auto At = [&](int Ms, std::uint64_t Events) {
    return Timing.latencySoFar(route_kind::Stream, Events,
                               Start + milliseconds(Ms));
  };
  CHECK(At(300, 0).HeadMs == std::optional<double>(300));
  CHECK_FALSE(At(300, 0).BodyMs);
  Timing.onHead(Start + milliseconds(400));
  Timing.onEvents(Start + milliseconds(400));
  CHECK(At(700, 1).HeadMs == std::optional<double>(400));
  // One event is out, and three gaps at least are needed for a mean.
  CHECK(At(700, 1).BodyMs == std::optional<double>(100));
  CHECK(At(900, 10).BodyMs == std::optional<double>(50));
  CHECK(Timing.latencySoFar(route_kind::Idempotent, 0, Start + milliseconds(70))
            .BodyMs == std::optional<double>(70));
}
