#include "LibRelay/bill_journal.h"

#include "LibFleet/scripted_store.h"
#include "LibFleet/virtual_scheduler.h"
#include "scheduler_clock.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

/// Counts the writes that are attempted, whatever becomes of them.
class counting_store : public scripted_store {
public:
  using scripted_store::scripted_store;
  void commit(store_transaction Transaction,
              store_handler<store_revision> Handler) override {
    ++Writes;
    scripted_store::commit(std::move(Transaction), std::move(Handler));
  }
  int Writes = 0;
};

bill testBill() {
  bill Bill;
  Bill.Account = client_account_id("a");
  Bill.Request = request_id("1");
  Bill.Price = micro_euros(5);
  return Bill;
}

} // namespace

TEST_CASE("While the store is away bills are written no more often the longer "
          "it lasts, nor in a planned stop") {
  virtual_scheduler Scheduler;
  counting_store Store(Scheduler);
  null_event_log Log;
  metrics Metrics;
  scheduler_clock Clock(Scheduler);
  bill_journal Journal(Store, Scheduler, Clock, Log, Metrics, vm_id("vm-1"), 7);
  Journal.start();
  Store.IsDown = true;
  Journal.add(testBill());
  Scheduler.advance(milliseconds(60000));
  Store.Writes = 0;
  Scheduler.advance(milliseconds(10000));
  CHECK(Store.Writes <= 11);
  Store.Writes = 0;
  for (int Tick = 0; Tick < 50; ++Tick) {
    Journal.flush();
    Scheduler.advance(milliseconds(100));
  }
  CHECK(Store.Writes <= 51);
}
