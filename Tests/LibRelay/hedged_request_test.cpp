#include "relay_fixture.h"

#include <doctest/doctest.h>

#include <memory>

using namespace azurehaven;

namespace {

const std::string Good = "Id: r1\r\nSigned: x\r\n";
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";
const std::string StreamEnd = "0\r\n\r\n";
const std::string BegunStream = StreamHead + chunk(event(1) + event(2));
const std::string Refusal = wholeResponse(503, "Id: r1\r\nNot-Run: 1\r\n", "");
const std::string FourEvents = event(1) + event(2) + event(3) + event(4);

/// Time without progress after which an endpoint counts as silent.
constexpr milliseconds IdleTimeout{10000};

/// A request whose first endpoint sends Begin and falls silent; the test says
/// what comes next.
class silent_endpoint_fixture : public relay_fixture {
public:
  explicit silent_endpoint_fixture(std::size_t EndpointCount = 3)
      : relay_fixture(EndpointCount) {
    addRoute("/p/", route_kind::Idempotent);
    addRoute("/s/", route_kind::Stream);
    for (route &Route : Content.Routes) {
      Route.Timeout = milliseconds(60000);
      Route.LatencyObjective = IdleTimeout;
    }
    applyRoutes();
  }
  ~silent_endpoint_fixture() {
    if (Caller)
      Caller->abort();
  }

  /// Starts a request; the endpoints after the first one respond with Next, or
  /// hang if it is empty.
  void start(const std::string &Path, const std::string &Begin,
             const std::string &Next) {
    setScript([=, this](std::size_t Number, const received_request &) {
      if (OnReceived)
        OnReceived(Number);
      const std::string &Bytes = Number == 0 ? Begin : Next;
      const bool Hangs = Number == 0 || Next.empty();
      return scripted_response{Bytes, Hangs ? after_response::Hang
                                            : after_response::Keep};
    });
    Caller = startRequest(
        Path, [this](call_result NewResult) { Result = std::move(NewResult); });
    awaitReceived(1);
    if (!Begin.empty())
      awaitDelivery(0);
    Clock.skip(Silence);
  }
  /// Waits until so many endpoints have got the request, or it has ended.
  void awaitReceived(std::size_t Count) {
    runUntil([&] { return Received.size() >= Count || Result; });
  }
  void awaitResult() {
    runUntil([&] { return Result.has_value(); });
  }
  endpoint_record &endpointOf(std::size_t Number) {
    return *Fleet.Endpoints.find(endpoint_id(Received.at(Number).Endpoint));
  }
  /// Lets the relay handle what the endpoint of the request has sent.
  void awaitDelivery(std::size_t Number) {
    const steady_time Before = endpointOf(Number).LastReceivedAt;
    runUntil([&] { return endpointOf(Number).LastReceivedAt != Before; });
  }
  void exhaustRetryBudget() {
    while (Fleet.Retries.tryConsume(service_id("s"), Clock.now()))
      continue;
  }

  milliseconds Silence = IdleTimeout + milliseconds(1000);
  std::function<void(std::size_t)> OnReceived;
  std::optional<call_result> Result;
  std::shared_ptr<endpoint_connection> Caller;
};

} // namespace

TEST_CASE("A stream whose endpoint falls silent for a moment is not cut while "
          "all others refuse it") {
  silent_endpoint_fixture Fixture;
  Fixture.start("/s/x", BegunStream, Refusal);
  Fixture.awaitReceived(3);
  Fixture.respondFurther(0, {chunk(event(3) + event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(statusOf(*Fixture.Result) == 200);
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Received.size() == 3);
}

TEST_CASE("A plain request whose endpoint falls silent for a moment is "
          "answered while all others refuse it") {
  silent_endpoint_fixture Fixture;
  Fixture.start("/p/x", "", Refusal);
  Fixture.awaitReceived(3);
  Fixture.respondFurther(0, {wholeResponse(200, Good, "first")});
  Fixture.awaitResult();
  CHECK(statusOf(*Fixture.Result) == 200);
  CHECK(bodyOf(*Fixture.Result) == "first");
}

TEST_CASE("A stream whose endpoint falls silent for a moment is not cut for "
          "want of a retry budget") {
  silent_endpoint_fixture Fixture;
  Fixture.OnReceived = [&](std::size_t Number) {
    if (Number == 1)
      Fixture.exhaustRetryBudget();
  };
  Fixture.start("/s/x", BegunStream, Refusal);
  Fixture.awaitReceived(2);
  Fixture.runUntil(
      [&] { return Fixture.endpointOf(1).InFlight == 0 || Fixture.Result; });
  Fixture.respondFurther(0, {chunk(event(3) + event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("A stream whose endpoint falls silent for a moment is not cut by an "
          "error response of another") {
  for (const std::string &Error : {wholeResponse(500, Good, "failed"),
                                   wholeResponse(200, "Id: r1\r\n", ""),
                                   wholeResponse(429, "Id: r1\r\n", "")}) {
    CAPTURE(Error);
    silent_endpoint_fixture Fixture;
    Fixture.start("/s/x", BegunStream, Error);
    Fixture.awaitReceived(3);
    Fixture.respondFurther(0, {chunk(event(3) + event(4)) + StreamEnd});
    Fixture.awaitResult();
    CHECK(bodyOf(*Fixture.Result) == FourEvents);
  }
}

TEST_CASE(
    "A silent endpoint that goes on first ends the second attempt, and no "
    "event comes twice") {
  silent_endpoint_fixture Fixture(2);
  Fixture.start("/s/x", BegunStream, "");
  Fixture.awaitReceived(2);
  CHECK(Fixture.endpointOf(0).InFlight == 1);
  CHECK(Fixture.endpointOf(1).InFlight == 1);
  Fixture.respondFurther(0, {chunk(event(3))});
  Fixture.runUntil([&] { return !Fixture.isOpen(1) || Fixture.Result; });
  CHECK(Fixture.endpointOf(0).InFlight == 1);
  CHECK(Fixture.endpointOf(1).InFlight == 0);
  Fixture.respondFurther(1, {StreamHead + chunk(event(3) + event(4))});
  Fixture.respondFurther(0, {chunk(event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("A plain response of a silent endpoint that comes first ends the "
          "second attempt") {
  silent_endpoint_fixture Fixture(2);
  Fixture.start("/p/x", "", "");
  Fixture.awaitReceived(2);
  Fixture.respondFurther(0, {wholeResponse(200, Good, "first")});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == "first");
  Fixture.runUntil([&] { return !Fixture.isOpen(1); });
  CHECK(Fixture.endpointOf(1).InFlight == 0);
}

TEST_CASE("A second attempt that begins ends the silent one at once, and no "
          "event is lost or comes twice") {
  silent_endpoint_fixture Fixture(2);
  // An event whose rest never comes.
  const std::string Half = event(3).substr(0, 5);
  Fixture.start("/s/x", StreamHead + chunk(event(1) + event(2) + Half), "");
  Fixture.awaitReceived(2);
  CHECK(Fixture.endpointOf(0).InFlight == 1);
  CHECK(headerValue(Fixture.Received[1].Head.Headers, "After") == "2");
  Fixture.respondFurther(1, {StreamHead + chunk(event(3))});
  Fixture.awaitDelivery(1);
  CHECK(Fixture.endpointOf(0).InFlight == 0);
  Fixture.runUntil([&] { return !Fixture.isOpen(0); });
  Fixture.respondFurther(0, {chunk(event(3).substr(5) + event(4))});
  Fixture.respondFurther(1, {chunk(event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("A second attempt goes on alone if the silent endpoint breaks off") {
  silent_endpoint_fixture Fixture(2);
  Fixture.start("/s/x", BegunStream, "");
  Fixture.awaitReceived(2);
  Fixture.respondFurther(0, {"", after_response::Reset});
  Fixture.runUntil([&] { return Fixture.endpointOf(0).InFlight == 0; });
  CHECK(Fixture.endpointOf(1).InFlight == 1);
  Fixture.respondFurther(1,
                         {StreamHead + chunk(event(3) + event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE(
    "A request whose two attempts break off is sent to a third endpoint") {
  silent_endpoint_fixture Fixture;
  Fixture.start("/s/x", BegunStream, "");
  Fixture.awaitReceived(2);
  Fixture.respondFurther(0, {"", after_response::Reset});
  Fixture.runUntil([&] { return Fixture.endpointOf(0).InFlight == 0; });
  Fixture.respondFurther(1, {"", after_response::Reset});
  Fixture.awaitReceived(3);
  Fixture.respondFurther(2,
                         {StreamHead + chunk(event(3) + event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
}

TEST_CASE("Attempts that may have run count towards the route's limit, also "
          "those that a silent endpoint ended by going on") {
  silent_endpoint_fixture Fixture;
  for (route &Route : Fixture.Content.Routes)
    Route.MaxAttempts = 2;
  Fixture.applyRoutes();
  Fixture.start("/s/x", BegunStream, "");
  Fixture.awaitReceived(2);
  Fixture.respondFurther(0, {chunk(event(3))});
  Fixture.runUntil([&] { return !Fixture.isOpen(1) || Fixture.Result; });
  // Silent once more, until another attempt would have been made.
  Fixture.Clock.skip(Fixture.Silence);
  Fixture.Loop.run_for(milliseconds(400));
  Fixture.respondFurther(0, {chunk(event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("A caller that leaves ends both attempts") {
  silent_endpoint_fixture Fixture(2);
  Fixture.start("/s/x", BegunStream, "");
  Fixture.awaitReceived(2);
  CHECK(Fixture.isOpen(0));
  Fixture.Caller->abort();
  Fixture.runUntil([&] { return !Fixture.isOpen(0) && !Fixture.isOpen(1); });
  Fixture.runUntil([&] { return Fixture.Context.ActiveRequests.empty(); });
  CHECK(Fixture.endpointOf(0).InFlight == 0);
  CHECK(Fixture.endpointOf(1).InFlight == 0);
}

TEST_CASE("The deadline ends both attempts") {
  silent_endpoint_fixture Fixture(2);
  for (route &Route : Fixture.Content.Routes) {
    Route.Timeout = milliseconds(3000);
    Route.LatencyObjective = milliseconds(0);
  }
  Fixture.Silence = milliseconds(500);
  Fixture.applyRoutes();
  Fixture.start("/p/x", "", "");
  Fixture.awaitReceived(2);
  CHECK(Fixture.endpointOf(0).InFlight == 1);
  Fixture.awaitResult();
  CHECK(statusOf(*Fixture.Result) == 504);
  CHECK(Fixture.endpointOf(0).InFlight == 0);
  CHECK(Fixture.endpointOf(1).InFlight == 0);
  Fixture.runUntil([&] { return !Fixture.isOpen(0) && !Fixture.isOpen(1); });
}

TEST_CASE("The end of a planned stop ends both attempts with a response") {
  silent_endpoint_fixture Fixture(2);
  Fixture.start("/p/x", "", "");
  Fixture.awaitReceived(2);
  CHECK(Fixture.endpointOf(0).InFlight == 1);
  for (active_request *Request : std::set(Fixture.Context.ActiveRequests))
    Request->endForShutdown();
  CHECK(Fixture.endpointOf(0).InFlight == 0);
  CHECK(Fixture.endpointOf(1).InFlight == 0);
  Fixture.awaitResult();
  CHECK(statusOf(*Fixture.Result) == 502);
}

TEST_CASE("A stream whose engine falls silent and fails its inspections is not "
          "cut, nor the engine taken for crashed, while all others refuse it") {
  struct failing_inspector : engine_inspector {
    void inspect(const endpoint_descriptor &,
                 std::function<void(result<engine_report>)> Handler) override {
      Handler(error{error_code::Unavailable, "timed out"});
    }
  } Inspector;
  silent_endpoint_fixture Fixture;
  Fixture.Content.Pools.front().Engine = engine_pool_settings();
  Fixture.applyRoutes();
  Fixture.Context.Inspector = &Inspector;
  Fixture.start("/s/x", BegunStream, Refusal);
  Fixture.awaitReceived(3);
  Fixture.respondFurther(0, {chunk(event(3) + event(4)) + StreamEnd});
  Fixture.awaitResult();
  CHECK(bodyOf(*Fixture.Result) == FourEvents);
  CHECK(Fixture.Fleet.UnconfirmedCrashes.empty());
}
