#include "LibLedger/bill_committer.h"
#include "LibLedger/custody_table.h"
#include "LibLedger/ledger_reader.h"
#include "LibStandIn/faulty_store.h"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

class custody_mock : public custody_client {
public:
  MAKE_MOCK0(candidates, std::vector<vm_id>(), override);
  MAKE_MOCK3(request,
             void(const vm_id &, std::uint64_t,
                  const std::vector<std::string> &),
             override);
  MAKE_MOCK2(release, void(const vm_id &, const std::vector<std::string> &),
             override);
};

bill billOf(const char *Request, std::uint64_t Body = 1) {
  bill Bill;
  Bill.Account = client_account_id("account");
  Bill.Request = request_id(Request);
  Bill.BodyFingerprint = Body;
  Bill.Price = micro_euros(7);
  Bill.Vm = vm_id("a");
  return Bill;
}

std::size_t ledgerSize(store &Store) {
  auto Bills = readLedger(Store, std::nullopt);
  REQUIRE_FALSE(isError(Bills));
  return valueOf(Bills).size();
}

} // namespace

TEST_CASE("queued bills are written to the store in one call") {
  faulty_store Store;
  custody_mock Custody;
  bill_committer Committer(Store, Custody, vm_id("a"), 1, {});
  for (const char *Request : {"r1", "r2", "r3"})
    (void)Committer.add(billOf(Request));
  Committer.flush(Start);
  CHECK(Store.Calls == 1);
  CHECK(Committer.stateOf(1) == bill_state::Written);
  CHECK(ledgerSize(Store) == 3);
}

TEST_CASE("a write whose response was lost is recorded once") {
  faulty_store Store;
  custody_mock Custody;
  ALLOW_CALL(Custody, candidates()).RETURN(std::vector<vm_id>{});
  Store.FaultOf = [](unsigned Call) {
    return Call == 1 ? store_fault::ResponseLost : store_fault::None;
  };
  bill_committer Committer(Store, Custody, vm_id("a"), 1, {});
  (void)Committer.add(billOf("r1"));
  Committer.flush(Start);
  CHECK(Committer.stateOf(1) == bill_state::Pending);
  Committer.retryFailedSegments(Start + std::chrono::seconds(1));
  CHECK(Committer.stateOf(1) == bill_state::Written);
  CHECK(ledgerSize(Store) == 1);
}

TEST_CASE(
    "while the store is unavailable two copies on peers make a bill durable") {
  faulty_store Store;
  custody_mock Custody;
  Store.FaultOf = [](unsigned) { return store_fault::Unavailable; };
  ALLOW_CALL(Custody, candidates())
      .RETURN(std::vector<vm_id>{vm_id("b"), vm_id("c"), vm_id("d")});
  REQUIRE_CALL(Custody, request(vm_id("b"), 1u, trompeloeil::_));
  REQUIRE_CALL(Custody, request(vm_id("c"), 1u, trompeloeil::_));
  bill_committer Committer(Store, Custody, vm_id("a"), 1, {});
  (void)Committer.add(billOf("r1"));
  Committer.flush(Start);
  Committer.confirmCustody(vm_id("b"), 1);
  CHECK(Committer.stateOf(1) == bill_state::Pending);
  CHECK_FALSE(Committer.isSafeToStop());
  Committer.confirmCustody(vm_id("c"), 1);
  CHECK(Committer.stateOf(1) == bill_state::InCustody);
  CHECK(Committer.isSafeToStop());

  REQUIRE_CALL(Custody, release(vm_id("b"), trompeloeil::_));
  REQUIRE_CALL(Custody, release(vm_id("c"), trompeloeil::_));
  Store.FaultOf = [](unsigned) { return store_fault::None; };
  Committer.retryFailedSegments(Start + std::chrono::seconds(1));
  CHECK(Committer.stateOf(1) == bill_state::Written);
  CHECK(ledgerSize(Store) == 1);
}

TEST_CASE("of several records of a bill the first one written counts") {
  memory_store Store;
  custody_mock Custody;
  bill_committer First(Store, Custody, vm_id("a"), 1, {});
  bill_committer Second(Store, Custody, vm_id("b"), 1, {});
  (void)First.add(billOf("r1"));
  First.flush(Start);
  bill MoreExpensive = billOf("r1");
  MoreExpensive.Price = micro_euros(9);
  (void)Second.add(MoreExpensive);
  (void)Second.add(billOf("r1", 2));
  Second.flush(Start);
  auto Bills = valueOf(readLedger(Store, std::nullopt));
  // The same request id with another body identifies another bill.
  REQUIRE(Bills.size() == 2);
  CHECK(Bills[0].Price == micro_euros(7));
}

TEST_CASE("orphaned bills are taken once, released ones are not taken") {
  custody_table Table;
  const std::vector<std::string> Bills = {encodeBill(billOf("r1")),
                                          encodeBill(billOf("r2"))};
  CHECK(Table.hold({vm_id("a"), 1}, Bills));
  CHECK(Table.hold({vm_id("a"), 1}, Bills));
  CHECK(Table.size() == 2);
  Table.release({vm_id("a"), 1}, {billOf("r1").key()});
  const auto IsGone = [](const bill_origin &) { return true; };
  CHECK(Table.takeOrphanedBills([](const bill_origin &) { return false; })
            .empty());
  CHECK(Table.takeOrphanedBills(IsGone).size() == 1);
  CHECK(Table.takeOrphanedBills(IsGone).empty());
  CHECK(Table.size() == 0);
}

TEST_CASE(
    "bills of a VM's previous process are separate from those of its restart") {
  custody_table Table;
  CHECK(Table.hold({vm_id("a"), 1}, {encodeBill(billOf("r1"))}));
  CHECK(Table.hold({vm_id("a"), 2}, {encodeBill(billOf("r2"))}));
  // A release by the new process doesn't affect the previous one's bills.
  Table.release({vm_id("a"), 2}, {billOf("r1").key()});
  const auto Orphans = Table.takeOrphanedBills(
      [](const bill_origin &Origin) { return Origin.Incarnation < 2; });
  REQUIRE(Orphans.size() == 1);
  CHECK(valueOf(decodeBill(Orphans[0])).Request == request_id("r1"));
  CHECK(Table.size() == 1);
}
