#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string Good = "Id: r1\r\nSigned: x\r\n";
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";

std::string chunk(const std::string &Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

} // namespace

TEST_CASE("A whole signed answer is passed on unchanged") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &Request) {
    return scripted_response{wholeResponse(200, Good, Request.Body + "!")};
  });
  const auto Answer = Fixture.ask("/p/x?q", {}, "body");
  CHECK(statusOf(Answer) == 200);
  CHECK(bodyOf(Answer) == "body!");
  CHECK(fieldOf(Answer, "Signed") == "x");
  CHECK(Fixture.Received.front().Head.Target == "/p/x?q");
  CHECK(headerValue(Fixture.Received.front().Head.Headers, "Endpoint") ==
        Fixture.Received.front().Endpoint);
}

TEST_CASE("What an endpoint did not run goes to another one") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    return scripted_response{Number == 0
                                 ? wholeResponse(503, "Not-Run: 1\r\n", "")
                                 : wholeResponse(200, Good, "ok")};
  });
  CHECK(statusOf(Fixture.ask("/p/")) == 200);
  REQUIRE(Fixture.Received.size() == 2);
  CHECK(Fixture.Received[0].Endpoint != Fixture.Received[1].Endpoint);
}

TEST_CASE("A request that may have run is not repeated nor called not run") {
  for (const auto After : {after_response::Close, after_response::Reset}) {
    relay_fixture Fixture;
    Fixture.addRoute("/p/", route_kind::NonIdempotent);
    Fixture.applyRoutes();
    Fixture.setScript([&](std::size_t, const received_request &) {
      return scripted_response{"", After};
    });
    const auto Answer = Fixture.ask("/p/");
    CHECK(statusOf(Answer) == 502);
    CHECK(fieldOf(Answer, "Retry-After").empty());
    CHECK(Fixture.Received.size() == 1);
  }
}

TEST_CASE("A 503 that does not say it was not run is no promise to pass on") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(503, "Id: r1\r\nSigned: x\r\n", "")};
  });
  const auto Answer = Fixture.ask("/p/");
  CHECK(statusOf(Answer) == 502);
  CHECK(fieldOf(Answer, "Signed").empty());
}

TEST_CASE("An idempotent request is repeated after any failure") {
  for (const char *First : {"", "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\n"
                                "Content-Length: 9\r\n\r\nhalf"}) {
    relay_fixture Fixture;
    Fixture.addRoute("/p/", route_kind::Idempotent);
    Fixture.applyRoutes();
    Fixture.setScript([&](std::size_t Number, const received_request &) {
      if (Number == 0)
        return scripted_response{First, after_response::Close};
      return scripted_response{wholeResponse(200, Good, "whole")};
    });
    const auto Answer = Fixture.ask("/p/");
    CHECK(statusOf(Answer) == 200);
    CHECK(bodyOf(Answer) == "whole");
  }
}

TEST_CASE("An endpoint's own failure is passed on with its signature") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(500, Good, "why")};
  });
  const auto Answer = Fixture.ask("/p/");
  CHECK(statusOf(Answer) == 500);
  CHECK(bodyOf(Answer) == "why");
  CHECK(fieldOf(Answer, "Signed") == "x");
}

TEST_CASE("An endpoint's failure is passed on when nothing may be repeated") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.Fleet.Retries.setLimits({0, milliseconds(10000), 0});
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(500, Good, "why")};
  });
  const auto Answer = Fixture.ask("/p/");
  CHECK(statusOf(Answer) == 500);
  CHECK(bodyOf(Answer) == "why");
  CHECK(fieldOf(Answer, "Signed") == "x");
}

TEST_CASE("A success without its signature or with an encoding is none") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, "Id: r1\r\n", "forged")};
  });
  CHECK(statusOf(Fixture.ask("/p/")) == 502);
}

TEST_CASE("A late answer to an earlier request is passed over") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{
        wholeResponse(200, "Id: r0\r\nSigned: x\r\n", "old") +
        wholeResponse(200, Good, "mine")};
  });
  CHECK(bodyOf(Fixture.ask("/p/")) == "mine");
}

TEST_CASE("Bytes behind a whole answer end the connection") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, Good, "mine") +
                             wholeResponse(200, Good, "extra")};
  });
  CHECK(bodyOf(Fixture.ask("/p/")) == "mine");
  CHECK(bodyOf(Fixture.ask("/p/")) == "mine");
  CHECK(Fixture.Connections.opened() == 2);
}

TEST_CASE("A stream that is cut goes on elsewhere without gap or repetition") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    if (Number == 0)
      return scripted_response{StreamHead +
                                   chunk(event(1) + event(2) + "id: 3\nda"),
                               after_response::Reset};
    return scripted_response{StreamHead + chunk(event(3) + event(4)) +
                             "0\r\n\r\n"};
  });
  const auto Answer = Fixture.ask("/p/");
  CHECK(statusOf(Answer) == 200);
  CHECK(bodyOf(Answer) == event(1) + event(2) + event(3) + event(4));
  REQUIRE(Fixture.Received.size() == 2);
  CHECK(headerValue(Fixture.Received[1].Head.Headers, "After") == "2");
}

TEST_CASE("A stream that can't go on does not look complete") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream).IsResumable = false;
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{StreamHead + chunk(event(1)),
                             after_response::Reset};
  });
  CHECK(statusOf(Fixture.ask("/p/")) == 0);
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("A stream that ends in the middle of an event goes on elsewhere") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    if (Number == 0)
      return scripted_response{StreamHead + chunk(event(1) + "id: 2\n") +
                               "0\r\n\r\n"};
    return scripted_response{StreamHead + chunk(event(2)) + "0\r\n\r\n"};
  });
  CHECK(bodyOf(Fixture.ask("/p/")) == event(1) + event(2));
}

TEST_CASE("A doubted answer of a small model is replaced unseen") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream).ModelsBySize = {
      model_id("small"), model_id("large")};
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &Request) {
    const bool IsSmall = headerValue(Request.Head.Headers, "Model") == "small";
    return scripted_response{
        "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nConfidence: " +
        std::string(IsSmall ? "3" : "90") +
        "\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk(IsSmall ? "id: 1\ndata: poor\n\n" : event(1)) + "0\r\n\r\n"};
  });
  const auto Answer = Fixture.ask("/p/", "Model: *\r\n");
  CHECK(bodyOf(Answer) == event(1));
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("A caller that leaves takes its request from the endpoint") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Silence};
  });
  auto Connection = Fixture.startAsking("/p/", [](call_result) {});
  Fixture.runUntil([&] { return !Fixture.Received.empty(); });
  Connection->abort();
  Fixture.runUntil([&] { return Fixture.ClosedByRelay == 1; });
  CHECK(Fixture.Context.ActiveRequests.empty());
}

TEST_CASE("A request whose time is over is answered, and told if it ran") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent).Timeout =
      milliseconds(100);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Silence};
  });
  CHECK(statusOf(Fixture.ask("/p/")) == 504);
}

TEST_CASE("The end of the process answers what is left") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Silence};
  });
  std::optional<call_result> Answer;
  auto Connection = Fixture.startAsking(
      "/p/", [&](call_result Result) { Answer = std::move(Result); });
  Fixture.runUntil([&] { return !Fixture.Received.empty(); });
  for (active_request *Request : std::set(Fixture.Context.ActiveRequests))
    Request->endForShutdown();
  Fixture.runUntil([&] { return Answer.has_value(); });
  CHECK(statusOf(*Answer) == 502);
}

TEST_CASE("Silence is no reason to end a request that can't go elsewhere") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent).MaxAttempts = 1;
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, Good, "late"),
                             after_response::Keep, milliseconds(800)};
  });
  CHECK(bodyOf(Fixture.ask("/p/")) == "late");
}

TEST_CASE("A request on a silent endpoint goes elsewhere while it can") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    if (Number == 0)
      return scripted_response{"", after_response::Silence};
    return scripted_response{wholeResponse(200, Good, "other")};
  });
  CHECK(bodyOf(Fixture.ask("/p/")) == "other");
}
