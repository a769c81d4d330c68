#include "connection_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("A timer that ran out while the process stood still ends no request "
          "whose bytes are here") {
  connection_fixture Fixture;
  Fixture.Handler.Limits.IdleTimeout = milliseconds(200);
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first"));
  Caller.awaitResponses(1);
  // The timer of the rest and the bytes are seen in the same turn.
  connection_fixture::standStill(milliseconds(400));
  Caller.send(wholeRequest(std::string(20000, 'x')));
  Caller.awaitResponsesOrClose(2);
  CHECK(Fixture.Handler.Served == 2);
  CHECK_FALSE(Caller.IsClosed);
}

TEST_CASE("A timer that ran out while the process stood still ends no request "
          "whose body comes in parts") {
  connection_fixture Fixture;
  Fixture.Handler.Limits.IdleTimeout = milliseconds(200);
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first"));
  Caller.awaitResponses(1);
  const std::string Request = wholeRequest(std::string(60000, 'x'));
  connection_fixture::standStill(milliseconds(400));
  Caller.send(Request.substr(0, 30000));
  Fixture.Loop.poll();
  Caller.send(Request.substr(30000));
  Caller.awaitResponsesOrClose(2);
  CHECK(Fixture.Handler.Served == 2);
  CHECK_FALSE(Caller.IsClosed);
}

TEST_CASE("A body that did not come in time is answered 408") {
  connection_fixture Fixture;
  Fixture.Handler.Limits.IdleTimeout = milliseconds(20);
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("body").substr(0, 50));
  Caller.awaitClose();
  CHECK(Caller.Received.starts_with("HTTP/1.1 408 "));
  CHECK(Caller.Received.find("Connection: close\r\n") != std::string::npos);
  CHECK(Fixture.Handler.Served == 0);
}

TEST_CASE("A response that the caller reads slowly is no rest") {
  connection_fixture Fixture;
  Fixture.Handler.Limits.IdleTimeout = milliseconds(20);
  Fixture.Handler.ResponseBody = std::string(32 << 20, 'x');
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first"));
  while (Fixture.Handler.Served == 0)
    Fixture.Loop.run_one();
  connection_fixture::standStill(milliseconds(100));
  for (int Turn = 0; Turn < 100; ++Turn)
    Fixture.Loop.poll();
  CHECK(Fixture.Handler.Closed.empty());
  CHECK(Fixture.Listener->busyCount() == 1);
}

TEST_CASE("A limit that shrinks while a connection rests does not end the rest "
          "earlier") {
  connection_fixture Fixture;
  Fixture.Handler.Limits.IdleTimeout = std::chrono::hours(1);
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first"));
  Caller.awaitResponses(1);
  Fixture.Handler.Limits.IdleTimeout = milliseconds(200);
  connection_fixture::standStill(milliseconds(400));
  Fixture.Loop.poll();
  Caller.send(wholeRequest("second"));
  Caller.awaitResponsesOrClose(2);
  CHECK(Fixture.Handler.Served == 2);
}

TEST_CASE("A limit that grows while a connection rests lengthens the rest") {
  connection_fixture Fixture;
  Fixture.Handler.Limits.IdleTimeout = milliseconds(200);
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first"));
  Caller.awaitResponses(1);
  Fixture.Handler.Limits.IdleTimeout = std::chrono::hours(1);
  connection_fixture::standStill(milliseconds(400));
  Fixture.Loop.poll();
  Caller.send(wholeRequest("second"));
  Caller.awaitResponsesOrClose(2);
  CHECK(Fixture.Handler.Served == 2);
}

TEST_CASE("A limit that is made smaller does not reject a request that has "
          "begun") {
  connection_fixture Fixture;
  test_caller Caller(Fixture);
  const std::string Request = wholeRequest(std::string(5000, 'x'));
  Caller.send(Request.substr(0, 2500));
  Fixture.Loop.poll();
  Fixture.Handler.Limits.BodyBytes = 100;
  Caller.send(Request.substr(2500, 1000));
  Fixture.Loop.poll();
  Caller.send(Request.substr(3500));
  Caller.awaitResponsesOrClose(1);
  CHECK(Caller.Received.starts_with("HTTP/1.1 200 "));
  Caller.send(Request);
  Caller.awaitClose();
  CHECK(Caller.Received.find("HTTP/1.1 413 ") != std::string::npos);
}

TEST_CASE("The time for the end of a connection that ran out while the process "
          "stood still cuts no response that the caller is reading") {
  connection_fixture Fixture;
  Fixture.Handler.SendsConnectionClose = true;
  Fixture.Handler.ResponseBody = std::string(300 << 10, 'x');
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first"));
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Served == 1);
  // Longer than a connection lingers after its last response.
  connection_fixture::standStill(milliseconds(700));
  Caller.send(wholeRequest(std::string(60000, 'x')));
  Fixture.Loop.poll();
  Caller.awaitClose();
  CHECK(Caller.Received.size() > Fixture.Handler.ResponseBody.size());
}
