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

TEST_CASE("A request that runs once is sent again only if it can't have run") {
  for (const auto Failure : Failures) {
    CHECK(isRetryAllowed(routeOf(route_kind::NonIdempotent), Failure) ==
          !mayHaveRun(Failure));
    CHECK(isRetryAllowed(routeOf(route_kind::Stream), Failure) ==
          !mayHaveRun(Failure));
    CHECK(isRetryAllowed(routeOf(route_kind::Idempotent), Failure));
    CHECK(isRetryAllowed(routeOf(route_kind::Stream, true), Failure));
  }
}

TEST_CASE("Only what has not run is refused with a time to come back") {
  CHECK(errorResponseFor(false, "x").Status == 503);
  CHECK(errorResponseFor(false, "x").RetryAfter);
  CHECK(errorResponseFor(true, "x").Status == 502);
  CHECK_FALSE(errorResponseFor(true, "x").RetryAfter);
  CHECK(deadlineErrorResponse(false).Status == 503);
  CHECK(deadlineErrorResponse(true).Status == 504);
}
