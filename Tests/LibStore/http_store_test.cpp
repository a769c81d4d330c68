#include "LibHttp/transport_mock.h"
#include "LibStore/http_store.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

/// The error of a write to which the store responds so.
error_code writeErrorOf(send_result Response) {
  transport_mock Transport;
  REQUIRE_CALL(Transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_,
                               trompeloeil::_))
      .LR_RETURN(Response);
  http_store Store(Transport, {}, milliseconds(1000));
  const auto Written = Store.compareAndSwap(store_purpose::Claim, "key",
                                            "value", AbsentRevision);
  REQUIRE(isError(Written));
  return errorOf(Written).Code;
}

error_code writeErrorOf(int Status) {
  return writeErrorOf(http_response{Status, {}, "{}"});
}

} // namespace

TEST_CASE("A write that the store rejects took no effect") {
  CHECK(writeErrorOf(409) == error_code::Conflict);
  for (const int Status : {400, 413, 429, 503})
    CHECK(writeErrorOf(Status) == error_code::Unavailable);
  CHECK(writeErrorOf(http_failure{delivery::NotSent, "refused"}) ==
        error_code::Unavailable);
}

TEST_CASE("A write that fails in the store may have taken effect") {
  for (const int Status : {500, 502, 504, 202, 302})
    CHECK(writeErrorOf(Status) == error_code::OutcomeUnknown);
  CHECK(writeErrorOf(200) == error_code::OutcomeUnknown);
  CHECK(writeErrorOf(http_failure{delivery::MayHaveRun, "cut"}) ==
        error_code::OutcomeUnknown);
}
