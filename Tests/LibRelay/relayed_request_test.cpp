#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string Good = "Id: r1\r\nSigned: x\r\n";
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";
/// The response ends when the connection is closed.
const std::string UnframedHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\n\r\n";

} // namespace

TEST_CASE("A complete signed response is forwarded unchanged") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &Request) {
    return scripted_response{wholeResponse(200, Good, Request.Body + "!")};
  });
  const auto Response = Fixture.sendRequest("/p/x?q", {}, "body");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response) == "body!");
  CHECK(fieldOf(Response, "Signed") == "x");
  CHECK(Fixture.Received.front().Head.Target == "/p/x?q");
  CHECK(headerValue(Fixture.Received.front().Head.Headers, "Endpoint") ==
        Fixture.Received.front().Endpoint);
}

TEST_CASE("A request that an endpoint did not execute is sent to another one") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    return scripted_response{Number == 0
                                 ? wholeResponse(503, "Not-Run: 1\r\n", "")
                                 : wholeResponse(200, Good, "ok")};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  REQUIRE(Fixture.Received.size() == 2);
  CHECK(Fixture.Received[0].Endpoint != Fixture.Received[1].Endpoint);
}

TEST_CASE("A non-idempotent request that may have run ends with 502") {
  for (const auto After : {after_response::Close, after_response::Reset}) {
    relay_fixture Fixture;
    Fixture.addRoute("/p/", route_kind::NonIdempotent);
    Fixture.applyRoutes();
    Fixture.setScript([&](std::size_t, const received_request &) {
      return scripted_response{"", After};
    });
    const auto Response = Fixture.sendRequest("/p/");
    CHECK(statusOf(Response) == 502);
    CHECK(fieldOf(Response, "Retry-After").empty());
    CHECK(Fixture.Received.size() == 1);
  }
}

TEST_CASE("A 503 without a not-executed marker is replaced by 502") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(503, "Id: r1\r\nSigned: x\r\n", "")};
  });
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 502);
  CHECK(fieldOf(Response, "Signed").empty());
}

TEST_CASE("An idempotent request is retried after any failure") {
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
    const auto Response = Fixture.sendRequest("/p/");
    CHECK(statusOf(Response) == 200);
    CHECK(bodyOf(Response) == "whole");
  }
}

TEST_CASE("An endpoint's error response is forwarded with its signature") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(500, Good, "why")};
  });
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 500);
  CHECK(bodyOf(Response) == "why");
  CHECK(fieldOf(Response, "Signed") == "x");
}

TEST_CASE("An error response is forwarded if the retry budget is empty") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.Fleet.Retries.setLimits({0, milliseconds(10000), 0});
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(500, Good, "why")};
  });
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 500);
  CHECK(bodyOf(Response) == "why");
  CHECK(fieldOf(Response, "Signed") == "x");
}

TEST_CASE("A successful response without a signature is rejected") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, "Id: r1\r\n", "forged")};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 502);
}

TEST_CASE("A late response to an earlier request is skipped") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{
        wholeResponse(200, "Id: r0\r\nSigned: x\r\n", "old") +
        wholeResponse(200, Good, "mine")};
  });
  CHECK(bodyOf(Fixture.sendRequest("/p/")) == "mine");
}

TEST_CASE("Bytes after a complete response close the connection") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, Good, "mine") +
                             wholeResponse(200, Good, "extra")};
  });
  CHECK(bodyOf(Fixture.sendRequest("/p/")) == "mine");
  CHECK(bodyOf(Fixture.sendRequest("/p/")) == "mine");
  CHECK(Fixture.Connections.openedCount() == 2);
}

TEST_CASE("A broken stream resumes elsewhere without gap or duplicate") {
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
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response) == event(1) + event(2) + event(3) + event(4));
  REQUIRE(Fixture.Received.size() == 2);
  CHECK(headerValue(Fixture.Received[1].Head.Headers, "After") == "2");
}

TEST_CASE("A stream that can't be resumed does not look complete") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream).IsResumable = false;
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{StreamHead + chunk(event(1)),
                             after_response::Reset};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 0);
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("A stream that ends within an event resumes on another endpoint") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    if (Number == 0)
      return scripted_response{StreamHead + chunk(event(1) + "id: 2\n") +
                               "0\r\n\r\n"};
    return scripted_response{StreamHead + chunk(event(2)) + "0\r\n\r\n"};
  });
  CHECK(bodyOf(Fixture.sendRequest("/p/")) == event(1) + event(2));
}

TEST_CASE("A stream without a length is complete when its connection closes "
          "after an event") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{UnframedHead + event(1) + event(2),
                             after_response::Close};
  });
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response) == event(1) + event(2));
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("A stream without a length that breaks off resumes on another "
          "endpoint") {
  struct broken_stream {
    std::string Events;
    after_response After;
  };
  for (const broken_stream &Broken :
       {broken_stream{event(1) + "id: 2\nda", after_response::Close},
        broken_stream{event(1), after_response::Reset},
        broken_stream{"", after_response::Close}}) {
    CAPTURE(Broken.Events);
    relay_fixture Fixture;
    Fixture.addRoute("/p/", route_kind::Stream);
    Fixture.applyRoutes();
    Fixture.setScript([&](std::size_t Number, const received_request &) {
      if (Number == 0)
        return scripted_response{UnframedHead + Broken.Events, Broken.After};
      const std::string First = Broken.Events.empty() ? event(1) : "";
      return scripted_response{UnframedHead + First + event(2),
                               after_response::Close};
    });
    const auto Response = Fixture.sendRequest("/p/");
    CHECK(statusOf(Response) == 200);
    CHECK(bodyOf(Response) == event(1) + event(2));
    CHECK(Fixture.Received.size() == 2);
  }
}

TEST_CASE("A plain response without a length is complete only at a clean "
          "close") {
  for (const auto After : {after_response::Close, after_response::Reset}) {
    relay_fixture Fixture;
    Fixture.addRoute("/p/", route_kind::NonIdempotent);
    Fixture.applyRoutes();
    Fixture.setScript([&](std::size_t, const received_request &) {
      return scripted_response{UnframedHead + "body", After};
    });
    const auto Response = Fixture.sendRequest("/p/");
    const bool IsClean = After == after_response::Close;
    CHECK(statusOf(Response) == (IsClean ? 200 : 502));
    CHECK(bodyOf(Response) == (IsClean ? "body" : ""));
  }
}

TEST_CASE("A caller that has all events of a stream without a length gets an "
          "empty one") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{UnframedHead, after_response::Close};
  });
  const auto Response = Fixture.sendRequest("/p/", "After: 9\r\n");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response).empty());
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("A low-confidence response of a small model is not forwarded") {
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
  const auto Response = Fixture.sendRequest("/p/", "Model: *\r\n");
  CHECK(bodyOf(Response) == event(1));
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("An answer of a small model is not dropped if no endpoint takes the "
          "request for a larger one") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::Stream).ModelsBySize = {
      model_id("small"), model_id("large")};
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{
        "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nConfidence: 3\r\n"
        "Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk(event(1)) + "0\r\n\r\n"};
  });
  const auto Response = Fixture.sendRequest("/p/", "Model: *\r\n");
  CHECK(statusOf(Response) == 200);
  CHECK(bodyOf(Response) == event(1));
}

TEST_CASE("A caller's disconnect cancels its request on the endpoint") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  auto Connection = Fixture.startRequest("/p/", [](call_result) {});
  Fixture.runUntil([&] { return !Fixture.Received.empty(); });
  Connection->abort();
  Fixture.runUntil([&] { return Fixture.ClosedByRelay == 1; });
  CHECK(Fixture.Context.ActiveRequests.empty());
}

TEST_CASE("A request that may have run gets a 504 at its deadline") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent).Timeout =
      milliseconds(100);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 504);
}

TEST_CASE("Requests still active at shutdown get a response") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Hang};
  });
  std::optional<call_result> Response;
  auto Connection = Fixture.startRequest(
      "/p/", [&](call_result Result) { Response = std::move(Result); });
  Fixture.runUntil([&] { return !Fixture.Received.empty(); });
  for (active_request *Request : std::set(Fixture.Context.ActiveRequests))
    Request->endForShutdown();
  Fixture.runUntil([&] { return Response.has_value(); });
  CHECK(statusOf(*Response) == 502);
}

TEST_CASE("A request that can't be retried survives an unresponsive endpoint") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent).MaxAttempts = 1;
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, Good, "late"),
                             after_response::Keep, milliseconds(800)};
  });
  CHECK(bodyOf(Fixture.sendRequest("/p/")) == "late");
}

TEST_CASE("A request on an unresponsive endpoint is retried on another one") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    if (Number == 0)
      return scripted_response{"", after_response::Hang};
    return scripted_response{wholeResponse(200, Good, "other")};
  });
  CHECK(bodyOf(Fixture.sendRequest("/p/")) == "other");
}

TEST_CASE("An endpoint is not given up for the time that one before it took to "
          "refuse") {
  relay_fixture Fixture(3);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  constexpr milliseconds Delay{250};
  Fixture.setScript([&](std::size_t Number, const received_request &) {
    return Number == 0
               ? scripted_response{wholeResponse(503, "Not-Run: 1\r\n", ""),
                                   after_response::Keep, Delay}
               : scripted_response{wholeResponse(200, Good, "ok"),
                                   after_response::Keep, Delay};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/x")) == 200);
  CHECK(Fixture.Received.size() == 2);
}

namespace {

const std::string ErrorText = "the endpoint failed";

/// Error responses of the endpoint that a broken stream goes on at.
std::vector<std::string> errorResponses() {
  const std::string Id = "Id: r1\r\nSigned: x\r\n";
  const std::string Event = "id: 3\ndata: " + ErrorText + "\n\n";
  std::vector<std::string> Responses;
  for (const int Status : {400, 404, 429, 500, 502, 503, 504})
    for (const std::string &Fields : {Id, std::string()})
      Responses.push_back(wholeResponse(Status, Fields, ErrorText));
  Responses.push_back("HTTP/1.1 500 E\r\n" + Id + "\r\n" + ErrorText);
  Responses.push_back("HTTP/1.1 500 E\r\n" + Id +
                      "Transfer-Encoding: chunked\r\n\r\n" + chunk(ErrorText) +
                      chunk(Event) + "0\r\n\r\n");
  Responses.push_back(wholeResponse(500, Id, Event));
  // A success that is not signed, or not for this request.
  Responses.push_back(wholeResponse(200, "Id: r1\r\n", Event));
  Responses.push_back(wholeResponse(200, "Signed: x\r\n", Event));
  Responses.push_back(ErrorText + "\r\n\r\n" + Event);
  return Responses;
}

} // namespace

TEST_CASE("No error response becomes part of a stream that has begun, or its "
          "end") {
  for (const std::string &Error : errorResponses())
    for (const after_response After :
         {after_response::Keep, after_response::Close}) {
      CAPTURE(Error);
      relay_fixture Fixture(4);
      Fixture.addRoute("/s/", route_kind::Stream);
      Fixture.applyRoutes();
      Fixture.setScript([&](std::size_t Number, const received_request &) {
        if (Number == 0)
          return scripted_response{StreamHead + chunk(event(1) + event(2)),
                                   after_response::Reset};
        if (Number == 1)
          return scripted_response{Error, After};
        return scripted_response{StreamHead + chunk(event(3)) + "0\r\n\r\n"};
      });
      const auto Result = Fixture.sendRequest("/s/");
      // Either it went on at another endpoint, or it ended visibly incomplete.
      if (statusOf(Result) != 0)
        CHECK(bodyOf(Result) == event(1) + event(2) + event(3));
    }
}
