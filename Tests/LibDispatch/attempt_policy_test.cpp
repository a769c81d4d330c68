#include "LibDispatch/attempt_policy.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr attempt_failure Failures[] = {
    attempt_failure::NotSent, attempt_failure::NotExecuted,
    attempt_failure::AnsweredFailure, attempt_failure::Broken};

route routeOf(work_kind Kind, bool IsResumable = false) {
  route Route;
  Route.Kind = Kind;
  Route.IsResumable = IsResumable;
  return Route;
}

} // namespace

TEST_CASE("A request that runs once is sent again only if it can't have run") {
  for (const auto Failure : Failures) {
    CHECK(maySendAgain(routeOf(work_kind::NonIdempotent), Failure) ==
          !mayHaveRun(Failure));
    CHECK(maySendAgain(routeOf(work_kind::Stream), Failure) ==
          !mayHaveRun(Failure));
    CHECK(maySendAgain(routeOf(work_kind::Idempotent), Failure));
    CHECK(maySendAgain(routeOf(work_kind::Stream, true), Failure));
  }
}

TEST_CASE("Only what has not run is refused with a time to come back") {
  CHECK(refusalAfter(false, "x").Status == 503);
  CHECK(refusalAfter(false, "x").RetryAfter);
  CHECK(refusalAfter(true, "x").Status == 502);
  CHECK_FALSE(refusalAfter(true, "x").RetryAfter);
  CHECK(refusalAtDeadline(false).Status == 503);
  CHECK(refusalAtDeadline(true).Status == 504);
}
