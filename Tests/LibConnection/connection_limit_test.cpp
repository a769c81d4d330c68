#include "connection_fixture.h"

#include <asio/post.hpp>
#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

/// A caller whose connection the listener has accepted.
std::unique_ptr<test_caller> connectCaller(connection_fixture &Fixture) {
  auto Caller = std::make_unique<test_caller>(Fixture);
  Fixture.Loop.poll();
  return Caller;
}

} // namespace

TEST_CASE("At the limit the oldest connection at rest is closed, not one with "
          "a request") {
  connection_fixture Fixture(3);
  Fixture.Handler.HoldsRequests = true;
  const auto Serving = connectCaller(Fixture);
  const auto Incomplete = connectCaller(Fixture);
  const auto Resting = connectCaller(Fixture);
  Serving->send(wholeRequest("x"));
  Incomplete->send(wholeRequest("x").substr(0, 20));
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Served == 1);
  const auto New = connectCaller(Fixture);
  Resting->awaitClose();
  REQUIRE(Fixture.Handler.Closed.size() == 1);
  CHECK_FALSE(Fixture.Handler.Closed[0].hasUnansweredRequest());
  Incomplete->send(wholeRequest("x").substr(20));
  Fixture.Loop.poll();
  CHECK(Fixture.Handler.Served == 2);
}

TEST_CASE("At the limit a request whose bytes are unread is not cut") {
  connection_fixture Fixture(1);
  const auto Old = connectCaller(Fixture);
  // The new connection is accepted in the turn in which the request arrives.
  test_caller New(Fixture);
  Old->send(wholeRequest("x"));
  Old->awaitResponsesOrClose(1);
  CHECK(Old->Received.starts_with("HTTP/1.1 200 "));
  for (const auto &Closed : Fixture.Handler.Closed)
    CHECK_FALSE(Closed.hasUnansweredRequest());
}

TEST_CASE("At the limit a connection whose response is unsent is not closed") {
  connection_fixture Fixture(1);
  Fixture.Handler.ResponseBody = std::string(32 << 20, 'x');
  const auto Slow = connectCaller(Fixture);
  Slow->send(wholeRequest("x"));
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Served == 1);
  const auto New = connectCaller(Fixture);
  New->awaitClose();
  CHECK(New->Received.empty());
  Slow->startReading();
  while (!Slow->IsClosed &&
         Slow->Received.size() < Fixture.Handler.ResponseBody.size())
    Fixture.Loop.run_one();
  CHECK_FALSE(Slow->IsClosed);
}

TEST_CASE("At the limit an incomplete request makes room and is answered 408") {
  connection_fixture Fixture(1);
  const auto Incomplete = connectCaller(Fixture);
  Incomplete->send(wholeRequest("x").substr(0, 20));
  Fixture.Loop.poll();
  const auto New = connectCaller(Fixture);
  Incomplete->awaitClose();
  CHECK(Incomplete->Received.starts_with("HTTP/1.1 408 "));
  New->send(wholeRequest("x"));
  New->awaitResponsesOrClose(1);
  CHECK(New->Received.starts_with("HTTP/1.1 200 "));
  CHECK(Fixture.Listener->connectionCount() == 1);
}

TEST_CASE("At the limit a new connection is refused if all have a request") {
  connection_fixture Fixture(2);
  Fixture.Handler.HoldsRequests = true;
  std::vector<std::unique_ptr<test_caller>> Callers;
  for (int Index = 0; Index < 2; ++Index) {
    Callers.push_back(connectCaller(Fixture));
    Callers.back()->send(wholeRequest("x"));
  }
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Served == 2);
  const auto New = connectCaller(Fixture);
  New->awaitClose();
  CHECK(Fixture.Listener->connectionCount() == 2);
  for (const auto &Caller : Fixture.Handler.Waiting)
    Caller->sendResponse(200, {}, {});
  for (const auto &Caller : Callers)
    Caller->awaitResponses(1);
}

TEST_CASE("A pipelined request is answered though its connection is closed "
          "when idle") {
  connection_fixture Fixture;
  Fixture.Handler.HoldsRequests = true;
  const auto Caller = connectCaller(Fixture);
  Caller->send(wholeRequest("first") + wholeRequest("second"));
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Waiting.size() == 1);
  // The second request is parsed in a later turn.
  Fixture.Handler.HoldsRequests = false;
  Fixture.Handler.Waiting[0]->sendResponse(200, {}, {});
  Fixture.Listener->closeIdle();
  CHECK(Fixture.Listener->busyCount() == 1);
  Caller->awaitResponsesOrClose(2);
  CHECK(Caller->responses() == 2);
}

TEST_CASE("A planned stop answers a request that only the operating system has "
          "received") {
  connection_fixture Fixture;
  const auto Caller = connectCaller(Fixture);
  Caller->send(wholeRequest("x"));
  Fixture.Listener->closeIdle();
  CHECK(Fixture.Listener->busyCount() == 1);
  Caller->awaitResponsesOrClose(1);
  CHECK(Caller->Received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("A planned stop answers a request on a connection that is not "
          "accepted yet") {
  connection_fixture Fixture;
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("x"));
  Fixture.Listener->stopAccepting();
  Fixture.Listener->closeIdle();
  CHECK(Fixture.Listener->busyCount() == 1);
  Caller.awaitResponsesOrClose(1);
  CHECK(Caller.Received.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("A connection accepted as listening ends closes no other one") {
  connection_fixture Fixture;
  const auto Resting = connectCaller(Fixture);
  test_caller Late(Fixture);
  asio::post(Fixture.Loop, [&] { Fixture.Listener->stopAccepting(); });
  for (int Turn = 0; Turn < 10; ++Turn)
    Fixture.Loop.poll();
  // Longer than the delay after a failed accept.
  connection_fixture::standStill(milliseconds(40));
  Fixture.Loop.poll();
  CHECK(Fixture.Handler.Closed.empty());
  CHECK(Fixture.Listener->connectionCount() == 2);
}

TEST_CASE("At the limit a response that the caller has not received yet is not "
          "cut") {
  connection_fixture Fixture(1);
  Fixture.Handler.ResponseBody = std::string(300 << 10, 'x');
  const auto Slow = connectCaller(Fixture);
  Slow->send(wholeRequest("x"));
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Served == 1);
  // The operating system has taken the response, the caller has not.
  REQUIRE(Fixture.Listener->busyCount() == 0);
  const auto New = connectCaller(Fixture);
  Slow->awaitClose();
  CHECK(Slow->Received.size() > Fixture.Handler.ResponseBody.size());
}

TEST_CASE("At the limit the connection that has rested longest is closed, not "
          "the one that has just been answered") {
  connection_fixture Fixture(2);
  const auto Active = connectCaller(Fixture);
  const auto Resting = connectCaller(Fixture);
  Active->send(wholeRequest("x"));
  Active->awaitResponses(1);
  const auto New = connectCaller(Fixture);
  Resting->awaitClose();
  CHECK_FALSE(Active->IsClosed);
}
