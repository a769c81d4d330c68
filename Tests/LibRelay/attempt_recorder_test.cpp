#include "LibRelay/attempt_recorder.h"

#include "test_fleet.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const model_id Model("m");

constexpr milliseconds Objective{2000};

/// The counts after a stream whose head takes twenty times as long as usual, or
/// as long as this.
release_counts countsOfLateHead(bool IsPromptCached,
                                milliseconds HeadTime = milliseconds(1000)) {
  fleet_state Fleet = testFleet();
  for (int Sample = 0; Sample < 20; ++Sample)
    Fleet.HeadLatencyBaseline.add("r", Model, 50);
  route Route;
  Route.Name = "r";
  Route.Kind = route_kind::Stream;
  Route.LatencyObjective = Objective;
  admitted_request Admitted;
  Admitted.Route = &Route;
  endpoint_descriptor Endpoint;
  Endpoint.Service = service_id("s");
  Endpoint.Release = "v2";
  const null_event_log Log;
  attempt_recorder Recorder(Fleet, Log, Admitted);
  Recorder.onSent(Endpoint, Model, IsPromptCached, 0, Start);
  Recorder.onHead(Start + HeadTime);
  Recorder.record(/*HasFailed=*/false, Start + HeadTime);
  return Fleet.ReleaseStatistics.countsOf(service_id("s"), "v2");
}

/// The counts of a release of which one prompt's head takes this long, on a
/// route none of whose prompts was cached; the old release's heads took
/// UsualTime.
release_counts countsOnUncachedRoute(milliseconds UsualTime,
                                     milliseconds HeadTime, bool HasHead) {
  fleet_state Fleet = testFleet();
  route Route;
  Route.Name = "r";
  Route.Kind = route_kind::Stream;
  Route.LatencyObjective = Objective;
  admitted_request Admitted;
  Admitted.Route = &Route;
  endpoint_descriptor Endpoint;
  Endpoint.Service = service_id("s");
  Endpoint.Release = "v1";
  const null_event_log Log;
  attempt_recorder Recorder(Fleet, Log, Admitted);
  for (int Sample = 0; Sample < 20; ++Sample) {
    Recorder.onSent(Endpoint, Model, /*NewIsPromptCached=*/false, 0, Start);
    Recorder.onHead(Start + UsualTime);
    Recorder.record(/*HasFailed=*/false, Start + UsualTime);
  }
  Endpoint.Release = "v2";
  Recorder.onSent(Endpoint, Model, /*NewIsPromptCached=*/false, 0, Start);
  if (HasHead)
    Recorder.onHead(Start + HeadTime);
  Recorder.recordIfSlow(Start + HeadTime);
  return Fleet.ReleaseStatistics.countsOf(service_id("s"), "v2");
}

} // namespace

TEST_CASE(
    "The time to read a prompt that is not cached does not make a release "
    "slow") {
  CHECK(countsOfLateHead(true).Slow == 1);
  CHECK(countsOfLateHead(false).Slow == 0);
  CHECK(countsOfLateHead(false).Requests == 1);
}

TEST_CASE("A head beyond the route's objective makes a release slow, whether "
          "its prompt is cached or not") {
  CHECK(countsOfLateHead(false, Objective + milliseconds(1)).Slow == 1);
}

TEST_CASE("A late head makes a release slow on a route whose prompts are never "
          "cached, also before it is there") {
  const milliseconds Late = Objective + milliseconds(1);
  const milliseconds Usual{200};
  CHECK(countsOnUncachedRoute(Usual, Late, true).Slow == 1);
  CHECK(countsOnUncachedRoute(Usual, Late, false).Slow == 1);
  CHECK(countsOnUncachedRoute(Usual, Objective, false).Slow == 0);
}

TEST_CASE("A late head does not make a release slow where the old release's "
          "heads are as late") {
  CHECK(countsOnUncachedRoute(Objective, Objective * 2, true).Slow == 0);
}
