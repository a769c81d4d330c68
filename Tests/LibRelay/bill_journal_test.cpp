#include "LibRelay/bill_journal.h"

#include "LibFleet/scripted_store.h"
#include "LibFleet/virtual_scheduler.h"
#include "LibTypes/fingerprint.h"
#include "scheduler_clock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace azurehaven;

namespace {

bill testBill(const std::string &Request) {
  bill Bill;
  Bill.Account = client_account_id("a");
  Bill.Request = request_id(Request);
  Bill.Price = micro_euros(5);
  return Bill;
}

/// A store that drops the responses to its writes on demand.
class response_losing_store : public scripted_store {
public:
  using scripted_store::scripted_store;
  void commit(store_transaction Transaction,
              store_handler<store_revision> Handler) override {
    for (const auto &Condition : Transaction.Conditions)
      if (Items.contains(Condition.Key) && Condition.Revision.isAbsent())
        return Handler(error{error_code::Conflict, "exists"});
    if (!LosesResponses)
      return scripted_store::commit(std::move(Transaction), std::move(Handler));
    scripted_store::commit(std::move(Transaction),
                           [](result<store_revision>) {});
    Handler(error{error_code::OutcomeUnknown, "lost"});
  }
  bool LosesResponses = false;
};

struct journal_fixture {
  virtual_scheduler Scheduler;
  response_losing_store Store{Scheduler};
  null_event_log Log;
  metrics Metrics;
  scheduler_clock Clock{Scheduler};
  bill_journal Journal{Store, Scheduler, Clock, Log, Metrics, vm_id("vm-1"), 7};

  std::map<std::string, bill> ledger() const {
    std::vector<store_item> Items;
    for (const auto &[Key, Item] : Store.Items)
      Items.push_back(Item);
    return mergeBillSegments(Items);
  }
};

} // namespace

TEST_CASE("Bills are written to the store in few segments") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  for (int Index = 0; Index < 500; ++Index) {
    Fixture.Journal.add(testBill(std::to_string(Index)));
    Fixture.Scheduler.advance(milliseconds(100));
  }
  Fixture.Journal.flush();
  CHECK(Fixture.ledger().size() == 500);
  CHECK(Fixture.Store.Commits.size() <= 6);
  CHECK(Fixture.Journal.pendingBillCount() == 0);
}

TEST_CASE("A lost store response neither duplicates nor loses a bill") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  Fixture.Journal.add(testBill("1"));
  Fixture.Store.LosesResponses = true;
  Fixture.Journal.flush();
  Fixture.Journal.add(testBill("2"));
  Fixture.Store.LosesResponses = false;
  Fixture.Scheduler.advance(milliseconds(20000));
  const auto Ledger = Fixture.ledger();
  CHECK(Ledger.size() == 2);
  CHECK(Fixture.Journal.pendingBillCount() == 0);
}

TEST_CASE("Bills stay pending while the store is unavailable") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  Fixture.Store.IsDown = true;
  Fixture.Journal.add(testBill("1"));
  Fixture.Scheduler.advance(milliseconds(60000));
  CHECK(Fixture.Journal.pendingBillCount() == 1);
  Fixture.Store.IsDown = false;
  Fixture.Scheduler.advance(milliseconds(5000));
  CHECK(Fixture.ledger().size() == 1);
}

TEST_CASE("Decoding rejects malformed segments") {
  for (const char *Text : {"", "{}", "[1]", R"(["no bill"])"})
    CHECK(isError(decodeBillSegment(Text)));
}

TEST_CASE("Bills that a restored store has lost are written again, once each") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  Fixture.Journal.add(testBill("in the copy"));
  Fixture.Scheduler.advance(milliseconds(12000));
  Fixture.Store.makeCopy();
  for (const char *Request : {"lost 1", "lost 2"}) {
    Fixture.Journal.add(testBill(Request));
    Fixture.Scheduler.advance(milliseconds(12000));
  }
  REQUIRE(Fixture.ledger().size() == 3);
  Fixture.Journal.add(testBill("pending"));
  Fixture.Store.restore();
  CHECK(Fixture.ledger().size() == 1);
  Fixture.Journal.onStoreRestored();
  CHECK(Fixture.ledger().size() == 3);
  Fixture.Scheduler.advance(milliseconds(12000));
  CHECK(Fixture.ledger().size() == 4);
  CHECK(Fixture.Journal.pendingBillCount() == 0);
  // Once for the copy's own, twice for the lost ones, once for the new one.
  CHECK(Fixture.Store.Commits.size() == 6);
}

TEST_CASE("A segment that is being written during a restoration is not lost") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  Fixture.Store.makeCopy();
  Fixture.Store.LosesResponses = true;
  Fixture.Journal.add(testBill("1"));
  Fixture.Scheduler.advance(milliseconds(12500));
  REQUIRE(Fixture.ledger().size() == 1);
  Fixture.Store.restore();
  Fixture.Journal.onStoreRestored();
  Fixture.Store.LosesResponses = false;
  Fixture.Scheduler.advance(milliseconds(5000));
  CHECK(Fixture.ledger().size() == 1);
  CHECK(Fixture.Journal.pendingBillCount() == 0);
}

TEST_CASE("Bills are retained for a minute") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  Fixture.Store.makeCopy();
  Fixture.Journal.add(testBill("1"));
  Fixture.Scheduler.advance(milliseconds(12000));
  Fixture.Scheduler.advance(milliseconds(61000));
  Fixture.Store.restore();
  Fixture.Journal.onStoreRestored();
  CHECK(Fixture.ledger().empty());
}

TEST_CASE("The segments of all VMs trigger a watch once per interval") {
  // 38 VMs that started at different times, with clocks up to 50 ms apart.
  constexpr int Vms = 38;
  std::vector<milliseconds> WriteTimes;
  for (int Vm = 0; Vm < Vms; ++Vm) {
    const milliseconds StartedAt(1000000 + Vm * 317);
    const milliseconds ClockError(Vm % 50);
    const double Spread =
        rendezvousFraction("bills", "vm-" + std::to_string(Vm));
    milliseconds Now = StartedAt;
    for (int Segment = 0; Segment < 3; ++Segment) {
      const milliseconds Wait =
          timeUntilSegment(unix_millis((Now + ClockError).count()), Spread);
      CHECK(Wait > milliseconds(0));
      CHECK(Wait <= milliseconds(12000));
      Now += Wait;
    }
    // Shifted, so that a clock error does not wrap around.
    WriteTimes.push_back((Now + milliseconds(6000)) % milliseconds(12000));
  }
  const auto [First, Last] =
      std::minmax_element(WriteTimes.begin(), WriteTimes.end());
  // The mirror collects the changes of 400 ms.
  CHECK(*Last - *First <= milliseconds(400));
}

TEST_CASE("A request id outside UTF-8 is billed and can be told from others") {
  journal_fixture Fixture;
  Fixture.Journal.start();
  for (const char *Id : {"caf\xe9", "caf\xe8", "caf\xc3\xa9"})
    Fixture.Journal.add(testBill(Id));
  Fixture.Scheduler.advance(milliseconds(30000));
  const auto Ledger = Fixture.ledger();
  CHECK(Ledger.size() == 3);
  std::set<std::string> Ids;
  for (const auto &[Key, Bill] : Ledger)
    Ids.insert(Bill.Request.text());
  CHECK(Ids == std::set<std::string>{"caf\\xe9", "caf\\xe8", "caf\xc3\xa9"});
}
