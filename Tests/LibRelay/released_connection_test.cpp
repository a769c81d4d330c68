#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("A request that ends while it waits for an endpoint does not close "
          "the connection that now carries another request") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent).Timeout =
      milliseconds(3000);
  Fixture.applyRoutes();
  // The first request, which e0 refuses, waits for e1.
  brittle_admission &Busy =
      Fixture.Fleet.Endpoints.find(endpoint_id("e1"))->Brittle;
  Busy.setQuota(1);
  Busy.onSent();
  Fixture.setScript([](std::size_t Number, const received_request &) {
    return Number == 0
               ? scripted_response{wholeResponse(
                     503, "Id: r1\r\nNot-Run: 1\r\n", "")}
               : scripted_response{
                     wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok"),
                     after_response::Keep, milliseconds(100)};
  });
  auto First = Fixture.startRequest("/p/1", [](const call_result &) {});
  Fixture.runUntil([&] { return Fixture.Connections.idleCount() == 1; });
  std::optional<call_result> Answer;
  auto Second = Fixture.startRequest(
      "/p/2", [&](call_result Result) { Answer = std::move(Result); });
  Fixture.runUntil([&] { return Fixture.Received.size() == 2; });
  REQUIRE(Fixture.Connections.openedCount() == 1);
  First->abort();
  Fixture.runUntil([&] { return Answer.has_value(); });
  CHECK(statusOf(*Answer) == 200);
  CHECK(bodyOf(*Answer) == "ok");
}
