#include "LibFleet/era_record.h"

#include "LibFleet/scripted_store.h"
#include "LibFleet/store_mirror.h"
#include "LibFleet/virtual_scheduler.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

/// A process that mirrors the store and follows the record.
struct process : store_mirror_listener {
  process(scripted_store &Store, virtual_scheduler &Scheduler)
      : Record(Store, Log), Mirror(Store, Scheduler, *this, {"", ""}) {
    Mirror.start();
    Scheduler.advance(milliseconds(10));
  }
  void onItem(const store_item &Item) override {
    if (Item.Key == EraRecordKey)
      Record.onRecord(Item);
  }
  void onRemoved(const std::string &Key, removal_cause) override {
    if (Key == EraRecordKey)
      Record.onRecordRemoved();
  }
  void onConfirmed(steady_time) override {}
  void onFirstRead() override { Record.onEraBegun(); }
  void onRestored(store_revision) override { Record.onEraBegun(); }
  void onReachable() override {}
  void onUnreachable(const std::string &) override {}

  null_event_log Log;
  era_record Record;
  store_mirror Mirror;
};

} // namespace

TEST_CASE("A process that starts finds the settled era, once it is written") {
  virtual_scheduler Scheduler;
  scripted_store Store(Scheduler);
  process First(Store, Scheduler);
  CHECK_FALSE(First.Record.isCurrent());
  First.Record.advance(Scheduler.now());
  Scheduler.advance(milliseconds(2000));
  CHECK(First.Record.isCurrent());
  const auto Writes = Store.Items.at(EraRecordKey).Revision;
  for (int Count = 0; Count < 100; ++Count) {
    First.Record.advance(Scheduler.now());
    Scheduler.advance(milliseconds(100));
  }
  CHECK(Store.Items.at(EraRecordKey).Revision == Writes);
  scripted_store Reread(Scheduler);
  Reread.Items = Store.Items;
  process Second(Reread, Scheduler);
  CHECK(Second.Record.isCurrent());
}

TEST_CASE(
    "A process that starts as the store returns from a copy does not take "
    "its era for settled") {
  virtual_scheduler Scheduler;
  scripted_store Store(Scheduler);
  bool IsInCopy = false;
  SUBCASE("the copy has the record of the era before") { IsInCopy = true; }
  SUBCASE("the copy has no record") {}
  process First(Store, Scheduler);
  if (!IsInCopy)
    Store.makeCopy();
  First.Record.advance(Scheduler.now());
  Scheduler.advance(milliseconds(2000));
  if (IsInCopy)
    Store.makeCopy();
  Store.restore();
  Scheduler.advance(milliseconds(2000));
  CHECK_FALSE(First.Record.isCurrent());
  // Once the new era is settled, the record names it.
  First.Record.advance(Scheduler.now() + milliseconds(3000));
  Scheduler.advance(milliseconds(2000));
  CHECK(First.Record.isCurrent());
  CHECK(Store.Items.at(EraRecordKey).Value ==
        std::to_string(scripted_store::FirstReportedEra + 1));
}
