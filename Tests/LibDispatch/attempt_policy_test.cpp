#include "LibDispatch/attempt_policy.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr attempt_failure Failures[] = {
    attempt_failure::NotSent, attempt_failure::NotExecuted,
    attempt_failure::ErrorResponse, attempt_failure::NoValidResponse};

route routeOf(route_kind Kind, bool IsResumable = false) {
  route Route;
  Route.Kind = Kind;
  Route.IsResumable = IsResumable;
  return Route;
}

} // namespace

TEST_CASE(
    "A non-idempotent request is retried only if it can't have been executed") {
  for (const auto Failure : Failures) {
    CHECK(isRetryAllowed(routeOf(route_kind::NonIdempotent), Failure) ==
          !mayHaveRun(Failure));
    CHECK(isRetryAllowed(routeOf(route_kind::Stream), Failure) ==
          !mayHaveRun(Failure));
    CHECK(isRetryAllowed(routeOf(route_kind::Idempotent), Failure));
    CHECK(isRetryAllowed(routeOf(route_kind::Stream, true), Failure));
  }
}

TEST_CASE("Only a request that was not executed gets a Retry-After time") {
  CHECK(errorResponseFor(false, "x").Status == 503);
  CHECK(errorResponseFor(false, "x").RetryAfter);
  CHECK(errorResponseFor(true, "x").Status == 502);
  CHECK_FALSE(errorResponseFor(true, "x").RetryAfter);
  CHECK(deadlineErrorResponse(false).Status == 503);
  CHECK(deadlineErrorResponse(true).Status == 504);
}

TEST_CASE("A plain service may take as long as its objective and usual times") {
  route Route;
  CHECK(plainIdleTimeout(Route, std::nullopt) == milliseconds(300));
  Route.LatencyObjective = milliseconds(150);
  CHECK(plainIdleTimeout(Route, 40.0) == milliseconds(300));
  CHECK(plainIdleTimeout(Route, 250.0) == milliseconds(1000));
  Route.LatencyObjective = milliseconds(2000);
  CHECK(plainIdleTimeout(Route, 40.0) == milliseconds(2000));
  Route.Kind = route_kind::Stream;
  Route.EventGapObjective = milliseconds(2500);
  CHECK(plainIdleTimeout(Route, std::nullopt) == milliseconds(2500));
}
