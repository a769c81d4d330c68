#include "LibDispatch/endpoint_health.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("A failing endpoint is avoided longer and longer, within a bound") {
  endpoint_record Endpoint;
  milliseconds Before{0};
  for (int Count = 0; Count < 20; ++Count) {
    noteFailure(Endpoint, Start);
    const auto Pause =
        std::chrono::duration_cast<milliseconds>(Endpoint.AvoidUntil - Start);
    CHECK(Pause >= Before);
    Before = Pause;
  }
  CHECK(Before == milliseconds(4000));
  noteSuccess(Endpoint);
  Endpoint.AvoidUntil = {};
  noteFailure(Endpoint, Start);
  CHECK(Endpoint.isUsable(Start + milliseconds(300)));
}

TEST_CASE("One failed answer is no reason to avoid an endpoint, two are") {
  endpoint_record Endpoint;
  noteAnsweredFailure(Endpoint, Start);
  CHECK(Endpoint.isUsable(Start));
  noteAnsweredFailure(Endpoint, Start);
  CHECK_FALSE(Endpoint.isUsable(Start));
}

TEST_CASE("Requests that fail with one endpoint count as one breakdown") {
  endpoint_record Endpoint;
  CHECK(isFirstBreakdown(Endpoint, Start));
  CHECK_FALSE(isFirstBreakdown(Endpoint, Start + milliseconds(500)));
  CHECK(isFirstBreakdown(Endpoint, Start + milliseconds(2000)));
}
