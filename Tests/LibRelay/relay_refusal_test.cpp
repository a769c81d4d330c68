#include "relay_fixture.h"

#include "LibTypes/fingerprint.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

scripted_response answerWhole(std::size_t, const received_request &) {
  return {wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
}

} // namespace

TEST_CASE("A VM that knows no configuration asks to come back") {
  relay_fixture Fixture;
  const auto Answer = Fixture.ask("/p/");
  CHECK(statusOf(Answer) == 503);
  CHECK_FALSE(fieldOf(Answer, "Retry-After").empty());
}

TEST_CASE("Unknown routes and keys are told only by a current configuration") {
  relay_fixture Fixture;
  Fixture.setScript(answerWhole);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.addRoute("/open/", route_kind::Idempotent).IsPublic = true;
  Fixture.Content.NeedsKeys = true;
  Fixture.Content.AccountsByKey["k"] = {client_account_id("a"), std::nullopt};
  Fixture.applyRoutes();
  CHECK(statusOf(Fixture.ask("/p/", "Key: k\r\n")) == 200);
  CHECK(statusOf(Fixture.ask("/open/")) == 200);
  CHECK(statusOf(Fixture.ask("/p/", "Key: other\r\n")) == 401);
  CHECK(statusOf(Fixture.ask("/none/", "Key: k\r\n")) == 404);

  Fixture.Fleet.Confirmation = configuration_confirmation(milliseconds(5000));
  CHECK(statusOf(Fixture.ask("/p/", "Key: k\r\n")) == 503);
  CHECK(statusOf(Fixture.ask("/p/", "Key: other\r\n")) == 503);
  CHECK(statusOf(Fixture.ask("/none/", "Key: k\r\n")) == 503);
  CHECK(statusOf(Fixture.ask("/open/")) == 200);
}

TEST_CASE("Without a usable endpoint the refusal comes at once") {
  relay_fixture Fixture(0);
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  const auto Answer = Fixture.ask("/p/");
  CHECK(statusOf(Answer) == 503);
  CHECK_FALSE(fieldOf(Answer, "Retry-After").empty());
}

TEST_CASE("An endpoint that leaves gets nothing") {
  relay_fixture Fixture;
  Fixture.setScript(answerWhole);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.Fleet.Endpoints.find(endpoint_id("e0"))->Descriptor.IsLeaving = true;
  for (int Index = 0; Index < 5; ++Index)
    CHECK(statusOf(Fixture.ask("/p/")) == 200);
  for (const auto &Request : Fixture.Received)
    CHECK(Request.Endpoint == "e1");
}

TEST_CASE("A request that is answered in between is no cause of breakdowns") {
  constexpr std::size_t Rounds = 5;
  // More endpoints than rounds, so that a sound one is left for each answer.
  relay_fixture Fixture(2 * Rounds);
  Fixture.addRoute("/p/", route_kind::Idempotent).MaxAttempts = 1;
  Fixture.applyRoutes();
  // The same popular request meets failing endpoints now and then.
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    Fixture.setScript([](std::size_t, const received_request &) {
      return scripted_response{{}, after_response::Reset};
    });
    CHECK(statusOf(Fixture.ask("/p/popular")) == 502);
    Fixture.setScript([](std::size_t, const received_request &) {
      return scripted_response{
          wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
    });
    CHECK(statusOf(Fixture.ask("/p/popular")) == 200);
  }
}

TEST_CASE("A request that breaks endpoints down is refused after the third") {
  relay_fixture Fixture(5);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Reset};
  });
  for (int Index = 0; Index < 3; ++Index)
    Fixture.ask("/p/", {}, "fatal");
  CHECK(Fixture.Received.size() == 3);
  CHECK(statusOf(Fixture.ask("/p/", {}, "fatal")) == 503);
  CHECK(Fixture.Received.size() == 3);
}

TEST_CASE("Streams are not begun late in a planned stop, plain work is") {
  relay_fixture Fixture;
  Fixture.setScript(answerWhole);
  Fixture.addRoute("/plain/", route_kind::NonIdempotent);
  Fixture.addRoute("/stream/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.Fleet.IsStopping = true;
  Fixture.Fleet.StoppingSince = Fixture.Clock.now() - milliseconds(4000);
  CHECK(statusOf(Fixture.ask("/plain/")) == 200);
  CHECK(statusOf(Fixture.ask("/stream/")) == 503);
  Fixture.Fleet.StoppingSince = Fixture.Clock.now() - milliseconds(7000);
  const auto Answer = Fixture.ask("/plain/");
  CHECK(statusOf(Answer) == 503);
  CHECK(fieldOf(Answer, "Connection") == "close");
}
