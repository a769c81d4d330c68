#include "LibLedger/claim_registry.h"
#include "LibStandIn/faulty_store.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const claim_key Key{client_account_id("account"), request_id("r1"), 5};
const recorded_response BookedResponse{200, "application/json",
                                       "{\"booked\":1}", true};

template <typename Wanted> bool is(const claim_result &Result) {
  return std::holds_alternative<Wanted>(Result);
}

} // namespace

TEST_CASE("only one VM is granted a claim") {
  faulty_store Store;
  claim_registry First(Store, vm_id("a"), 1);
  claim_registry Second(Store, vm_id("b"), 1);
  CHECK(is<claim_granted>(First.claim(Key)));
  CHECK(is<claim_taken>(Second.claim(Key)));
  CHECK(is<claim_taken>(First.claim(Key)));
}

TEST_CASE("a finished claim returns the recorded response") {
  faulty_store Store;
  claim_registry First(Store, vm_id("a"), 1);
  claim_registry Second(Store, vm_id("b"), 1);
  auto Claim = First.claim(Key);
  First.recordResponse(Key, std::get<claim_granted>(Claim), BookedResponse);
  auto Again = Second.claim(Key);
  REQUIRE(is<claim_finished>(Again));
  CHECK(std::get<claim_finished>(Again).Response.Body == BookedResponse.Body);
  claim_key OtherBody = Key;
  OtherBody.BodyFingerprint = 6;
  CHECK(is<claim_body_mismatch>(Second.claim(OtherBody)));
}

TEST_CASE("an abandoned claim can be taken by another VM") {
  faulty_store Store;
  claim_registry First(Store, vm_id("a"), 1);
  claim_registry Second(Store, vm_id("b"), 1);
  auto Claim = First.claim(Key);
  First.abandon(Key, std::get<claim_granted>(Claim));
  CHECK(is<claim_granted>(Second.claim(Key)));
  CHECK(is<claim_taken>(First.claim(Key)));
}

TEST_CASE(
    "a claim whose store response was lost is granted after reading it back") {
  faulty_store Store;
  Store.FaultOf = [](unsigned Call) {
    return Call == 1 ? store_fault::ResponseLost : store_fault::None;
  };
  claim_registry First(Store, vm_id("a"), 1);
  CHECK(is<claim_granted>(First.claim(Key)));
}

TEST_CASE(
    "a claim that can't be read back is unavailable and is abandoned later") {
  faulty_store Store;
  Store.FaultOf = [](unsigned Call) {
    if (Call == 1)
      return store_fault::ResponseLost;
    return Call == 2 ? store_fault::Unavailable : store_fault::None;
  };
  claim_registry First(Store, vm_id("a"), 1);
  claim_registry Second(Store, vm_id("b"), 1);
  CHECK(is<claim_unavailable>(First.claim(Key)));
  CHECK(First.pendingWriteCount() == 1);
  First.retryPendingWrites();
  CHECK(First.pendingWriteCount() == 0);
  CHECK(is<claim_granted>(Second.claim(Key)));
}

TEST_CASE("a response is recorded when the store is available again") {
  faulty_store Store;
  claim_registry First(Store, vm_id("a"), 1);
  auto Claim = First.claim(Key);
  Store.FaultOf = [](unsigned) { return store_fault::Unavailable; };
  First.recordResponse(Key, std::get<claim_granted>(Claim), BookedResponse);
  CHECK(First.pendingWriteCount() == 1);
  Store.FaultOf = [](unsigned) { return store_fault::None; };
  First.retryPendingWrites();
  claim_registry Second(Store, vm_id("b"), 1);
  CHECK(is<claim_finished>(Second.claim(Key)));
}

TEST_CASE(
    "account and request ids that are equal when joined are different claims") {
  faulty_store Store;
  claim_registry Registry(Store, vm_id("a"), 1);
  CHECK(is<claim_granted>(
      Registry.claim({client_account_id("a/b"), request_id("c"), 1})));
  CHECK(is<claim_granted>(
      Registry.claim({client_account_id("a"), request_id("b/c"), 1})));
}
