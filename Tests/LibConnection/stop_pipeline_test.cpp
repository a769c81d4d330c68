#include "connection_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("A planned stop answers a pipelined request that has been read "
          "whole") {
  connection_fixture Fixture;
  Fixture.Handler.HoldsRequests = true;
  test_caller Caller(Fixture);
  Caller.send(wholeRequest("first") + wholeRequest("second"));
  Fixture.Loop.poll();
  REQUIRE(Fixture.Handler.Waiting.size() == 1);
  Fixture.Handler.SendsConnectionClose = true;
  Fixture.Handler.HoldsRequests = false;
  Fixture.Handler.Waiting[0]->sendResponse(200, {}, {});
  Caller.awaitClose();
  CHECK(Caller.responses() == 2);
}
