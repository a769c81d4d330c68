#include "LibDispatch/endpoint_health.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("The ejection time grows with each failure up to a limit") {
  endpoint_record Endpoint;
  milliseconds Before{0};
  for (int Count = 0; Count < 20; ++Count) {
    recordFailure(Endpoint, Start);
    const auto Ejection =
        std::chrono::duration_cast<milliseconds>(Endpoint.EjectedUntil - Start);
    CHECK(Ejection >= Before);
    Before = Ejection;
  }
  CHECK(Before == milliseconds(4000));
  recordSuccess(Endpoint);
  Endpoint.EjectedUntil = {};
  recordFailure(Endpoint, Start);
  CHECK(Endpoint.isUsable(Start + milliseconds(300)));
}

TEST_CASE(
    "An endpoint is ejected from the second consecutive error response on") {
  endpoint_record Endpoint;
  recordErrorResponse(Endpoint, Start);
  CHECK(Endpoint.isUsable(Start));
  recordErrorResponse(Endpoint, Start);
  CHECK_FALSE(Endpoint.isUsable(Start));
}

TEST_CASE("Requests that fail together on one endpoint count as one crash") {
  endpoint_record Endpoint;
  CHECK(recordCrash(Endpoint, Start));
  CHECK_FALSE(recordCrash(Endpoint, Start + milliseconds(500)));
  CHECK(recordCrash(Endpoint, Start + milliseconds(2000)));
}
