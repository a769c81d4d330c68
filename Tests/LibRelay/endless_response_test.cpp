#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string Good = "Id: r1\r\nSigned: x\r\n";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\n" + Good + "Transfer-Encoding: chunked\r\n\r\n";
const std::string LateHead = "HTTP/1.1 200 OK\r\nId: another\r\nSigned: x\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
/// Far more than any limit on a response.
constexpr std::size_t EndlessLimit = 64 << 20;

struct endless_case {
  const char *Name;
  std::string Begin;
  std::string Endless;
};

/// Responses to a plain request that never end.
const std::vector<endless_case> PlainCases = {
    {"no response at all", "", std::string(4096, 'x')},
    {"header fields", "HTTP/1.1 200 OK\r\n",
     "A: " + std::string(4096, 'x') + "\r\n"},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"a body", ChunkedHead, chunk(std::string(65536, 'x'))},
    {"a chunk extension", ChunkedHead + "1;", std::string(4096, 'x')},
    {"a late response to another request", LateHead,
     chunk(std::string(65536, 'x'))},
};

struct endless_fixture : relay_fixture {
  explicit endless_fixture(route_kind Kind) {
    addRoute("/p/", Kind);
    applyRoutes();
  }
  /// The first endpoint that is asked sends bytes without end, the other one a
  /// good response.
  void sendEndlessly(const endless_case &Case, const std::string &GoodResponse,
                     milliseconds Interval = milliseconds(0)) {
    setScript([=](std::size_t Number, const received_request &) {
      if (Number > 0)
        return scripted_response{GoodResponse};
      return scripted_response{Case.Begin, after_response::Keep,
                               milliseconds(0), Case.Endless, Interval};
    });
  }
  std::uint32_t inFlight() {
    std::uint32_t Count = 0;
    for (const auto &Endpoint : Fleet.Endpoints.endpointsOf(service_id("s")))
      Count += Endpoint->InFlight;
    return Count;
  }
  /// Checks that the connection was closed, and nothing of the response kept.
  void checkReleased() {
    runUntil([&] { return ClosedByRelay > 0; });
    CHECK(EndlessBytesSent < EndlessLimit);
    CHECK(inFlight() == 0);
    CHECK(Context.Memory.ofResponses().used() == 0);
  }
};

} // namespace

TEST_CASE("A response without end to a request that may run once ends in 502") {
  for (const auto &Case : PlainCases) {
    CAPTURE(Case.Name);
    endless_fixture Fixture(route_kind::NonIdempotent);
    Fixture.sendEndlessly(Case, "");
    CHECK(statusOf(Fixture.sendRequest("/p/")) == 502);
    Fixture.checkReleased();
    CHECK(Fixture.Received.size() == 1);
  }
}

TEST_CASE("An idempotent request gets its response from another endpoint") {
  for (const auto &Case : PlainCases) {
    CAPTURE(Case.Name);
    endless_fixture Fixture(route_kind::Idempotent);
    Fixture.sendEndlessly(Case, wholeResponse(200, Good, "other"));
    CHECK(bodyOf(Fixture.sendRequest("/p/")) == "other");
    Fixture.checkReleased();
  }
}

TEST_CASE("A stream goes on at another endpoint after an event without end") {
  endless_fixture Fixture(route_kind::Stream);
  Fixture.sendEndlessly({"an event", ChunkedHead + chunk(event(1)),
                         chunk(std::string(65536, 'x'))},
                        ChunkedHead + chunk(event(1) + event(2)) + "0\r\n\r\n");
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response) == event(1) + event(2));
  Fixture.checkReleased();
}

TEST_CASE("A response that the VM has ended is no crash of its endpoint") {
  for (const auto &Case : PlainCases) {
    CAPTURE(Case.Name);
    endless_fixture Fixture(route_kind::Idempotent);
    Fixture.sendEndlessly(Case, wholeResponse(200, Good, "other"));
    CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
    for (const auto &Endpoint :
         Fixture.Fleet.Endpoints.endpointsOf(service_id("s")))
      CHECK(Endpoint->LastCrash == steady_time());
  }
}

TEST_CASE("Many endless bodies at once share a limit on memory") {
  endless_fixture Fixture(route_kind::NonIdempotent);
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{ChunkedHead, after_response::Keep, milliseconds(0),
                             chunk(std::string(65536, 'x'))};
  });
  constexpr std::size_t Requests = 30;
  std::size_t Ended = 0;
  std::size_t Peak = 0;
  std::vector<std::shared_ptr<endpoint_connection>> Connections;
  for (std::size_t Index = 0; Index < Requests; ++Index)
    Connections.push_back(Fixture.startRequest("/p/", [&](call_result Result) {
      ++Ended;
      CHECK(statusOf(Result) == 502);
    }));
  Fixture.runUntil([&] {
    Peak = std::max(Peak, Fixture.Context.Memory.ofResponses().used());
    return Ended == Requests;
  });
  CHECK(Peak <= 64 << 20);
  CHECK(Fixture.Context.Memory.ofResponses().used() == 0);
}

TEST_CASE("Bytes that complete no event are no progress of a stream") {
  const endless_case Cases[] = {
      {"part of an event", ChunkedHead + chunk(event(1)), chunk("x")},
      {"comments", ChunkedHead + chunk(event(1)), chunk(":\n\n")},
      {"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.Name);
    endless_fixture Fixture(route_kind::Stream);
    Fixture.sendEndlessly(
        Case, ChunkedHead + chunk(event(1) + event(2)) + "0\r\n\r\n",
        milliseconds(50));
    const auto Response = Fixture.sendRequest("/p/");
    // Without the retry, the route's timeout would end the response.
    CHECK(bodyOf(Response).ends_with(event(2)));
    Fixture.checkReleased();
  }
}

TEST_CASE("A slow stream within its route's objective is not cut") {
  endless_fixture Fixture(route_kind::Stream);
  Fixture.Content.Routes.back().EventGapObjective = milliseconds(1200);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{ChunkedHead + chunk(event(1)) + chunk(event(2)) +
                                 "0\r\n\r\n",
                             after_response::Keep, milliseconds(900)};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  CHECK(Fixture.Received.size() == 1);
}
