#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
constexpr double UsualMs = 20;

/// One endpoint and one route, whose usual latency is known.
struct slow_release_fixture : relay_fixture {
  explicit slow_release_fixture(route_kind Kind) : relay_fixture(1) {
    addRoute("/p/", Kind);
    applyRoutes();
    for (int Sample = 0; Sample < 20; ++Sample)
      Fleet.LatencyBaseline.add("/p/", model_id(), UsualMs);
  }
  /// Sends a request, lets this much time pass once its endpoint has it, and
  /// hangs up.
  void sendAndGiveUpAfter(milliseconds Time) {
    auto Connection = startRequest("/p/x", [](const call_result &) {});
    runUntil([&] { return hasResponseBegun(); });
    Clock.skip(Time);
    Connection->abort();
    runUntil([&] { return Context.ActiveRequests.empty(); });
  }
  virtual bool hasResponseBegun() { return !Received.empty(); }
  release_counts counts() const {
    return Fleet.ReleaseStatistics.countsOf(service_id("s"), "");
  }
};

struct slow_stream_fixture : slow_release_fixture {
  slow_stream_fixture() : slow_release_fixture(route_kind::Stream) {
    setScript([](std::size_t, const received_request &) {
      return scripted_response{
          ChunkedHead + chunk(event(1) + event(2) + event(3) + event(4))};
    });
  }
  bool hasResponseBegun() override {
    return Fleet.Endpoints.find(endpoint_id("e0"))->LastReceivedAt !=
           steady_time();
  }
};

} // namespace

TEST_CASE("A request given up by its caller on a slow release counts as slow") {
  slow_release_fixture Fixture(route_kind::Idempotent);
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  Fixture.sendAndGiveUpAfter(milliseconds(1000));
  CHECK(Fixture.counts().Requests == 1);
  CHECK(Fixture.counts().Slow == 1);
}

TEST_CASE("A stream given up by its caller on a slow release counts as slow") {
  slow_stream_fixture Fixture;
  Fixture.sendAndGiveUpAfter(milliseconds(2000));
  CHECK(Fixture.counts().Requests == 1);
  CHECK(Fixture.counts().Slow == 1);
}

TEST_CASE("A request given up by its caller soon tells nothing of the "
          "release") {
  slow_release_fixture Fixture(route_kind::Idempotent);
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  Fixture.sendAndGiveUpAfter(milliseconds(0));
  CHECK(Fixture.counts().Requests == 0);
  CHECK(Fixture.counts().Attempts == 1);
}

TEST_CASE("A running request that is slow already counts once, before it "
          "ends") {
  slow_release_fixture Fixture(route_kind::Idempotent);
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  auto Connection = Fixture.startRequest("/p/x", [](const call_result &) {});
  Fixture.runUntil([&] { return !Fixture.Received.empty(); });
  Fixture.Clock.skip(milliseconds(1000));
  for (int Check = 0; Check < 2; ++Check)
    for (active_request *Request : Fixture.Context.ActiveRequests)
      Request->recordIfSlow(Fixture.Clock.now());
  CHECK(Fixture.counts().Requests == 1);
  CHECK(Fixture.counts().Slow == 1);
  Connection->abort();
  Fixture.runUntil([&] { return Fixture.Context.ActiveRequests.empty(); });
  CHECK(Fixture.counts().Requests == 1);
}
