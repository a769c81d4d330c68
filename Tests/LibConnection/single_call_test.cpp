#include "connection_fixture.h"

#include "LibConnection/single_call.h"

#include <doctest/doctest.h>

#include <optional>

using namespace azurehaven;

namespace {

/// Starts a call, lets the process stand still beyond its timeout once the
/// request is served, and returns the result.
call_result callBesideStandstill(connection_fixture &Fixture, bool IsAnswered) {
  Fixture.Handler.HoldsRequests = true;
  std::optional<call_result> Result;
  startCall(std::make_shared<endpoint_connection>(Fixture.Loop.get_executor(),
                                                  Fixture.Address,
                                                  connection_timeouts{}),
            formatCall("POST", "/", Fixture.Address, "{}"), milliseconds(100),
            [&](call_result New) { Result = std::move(New); });
  while (Fixture.Handler.Waiting.empty())
    Fixture.Loop.run_one();
  if (IsAnswered)
    Fixture.Handler.Waiting[0]->sendResponse(200, {}, std::string(60000, 'x'));
  connection_fixture::standStill(milliseconds(200));
  while (!Result)
    Fixture.Loop.run_one();
  return *Result;
}

} // namespace

TEST_CASE("A call whose response came while the process stood still has not "
          "timed out") {
  connection_fixture Fixture;
  const auto Result = callBesideStandstill(Fixture, true);
  REQUIRE(std::holds_alternative<http_response>(Result));
  CHECK(std::get<http_response>(Result).Body.size() == 60000);
}

TEST_CASE("A call without a response in time has timed out") {
  connection_fixture Fixture;
  const auto Result = callBesideStandstill(Fixture, false);
  REQUIRE(std::holds_alternative<http_failure>(Result));
  CHECK(std::get<http_failure>(Result).Message ==
        "timed out waiting for the response");
}

TEST_CASE("A connection that was made while the process stood still has not "
          "timed out") {
  connection_fixture Fixture;
  connection_timeouts Timeouts;
  Timeouts.Connect = milliseconds(50);
  std::optional<call_result> Result;
  startCall(std::make_shared<endpoint_connection>(Fixture.Loop.get_executor(),
                                                  Fixture.Address, Timeouts),
            formatCall("POST", "/", Fixture.Address, "{}"),
            std::chrono::seconds(20),
            [&](call_result New) { Result = std::move(New); });
  connection_fixture::standStill(milliseconds(100));
  while (!Result)
    Fixture.Loop.run_one();
  CHECK(std::holds_alternative<http_response>(*Result));
}
