#include "LibFleet/store_mirror.h"

#include "scripted_store.h"
#include "virtual_scheduler.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

class recorder : public store_mirror_listener {
public:
  void onItem(const store_item &Item) override { Items[Item.Key] = Item.Value; }
  void onRemoved(const std::string &Key, removal_cause Cause) override {
    Items.erase(Key);
    Removals[Key] = Cause;
  }
  void onConfirmed(steady_time At) override {
    CHECK(At >= ConfirmedAt);
    ConfirmedAt = At;
  }
  void onFirstRead() override { ++FirstReads; }
  void onRestored(store_revision NewCopyEnd) override {
    ++Restored;
    CopyEnd = NewCopyEnd;
  }
  void onReachable() override { ++Regained; }
  void onUnreachable(const std::string &) override { ++Lost; }

  std::map<std::string, std::string> Items;
  std::map<std::string, removal_cause> Removals;
  steady_time ConfirmedAt{};
  store_revision CopyEnd;
  int FirstReads = 0;
  int Restored = 0;
  int Regained = 0;
  int Lost = 0;
};

struct mirror_fixture {
  virtual_scheduler Scheduler;
  scripted_store Store{Scheduler};
  recorder Recorder;
  store_mirror Mirror{Store, Scheduler, Recorder, {"", "b"}};

  milliseconds confirmationAge() const {
    return std::chrono::duration_cast<milliseconds>(Scheduler.now() -
                                                    Recorder.ConfirmedAt);
  }
};

} // namespace

TEST_CASE("The listener gets all items, then every change") {
  mirror_fixture Fixture;
  Fixture.Store.put("k", "1");
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  CHECK(Fixture.Recorder.Items["k"] == "1");
  Fixture.Store.put("k", "2");
  CHECK(Fixture.Recorder.Items["k"] == "2");
  Fixture.Store.remove("k");
  // Later changes are coalesced, with a delay far below the three seconds in
  // which a configuration has to come into force.
  Fixture.Scheduler.advance(milliseconds(500));
  CHECK(Fixture.Recorder.Items.empty());
  CHECK(Fixture.Recorder.Removals["k"] == removal_cause::Removed);
}

TEST_CASE("Without changes the confirmation stays recent with few calls") {
  mirror_fixture Fixture;
  Fixture.Mirror.start();
  milliseconds Oldest{0};
  for (int Step = 0; Step < 600; ++Step) {
    Fixture.Scheduler.advance(milliseconds(100));
    Oldest = std::max(Oldest, Fixture.confirmationAge());
  }
  // Requests with a key are refused from an age of 3,800 ms on. The difference
  // is how long an outage may last without an effect on callers.
  CHECK(Oldest < milliseconds(2300));
  CHECK(Fixture.Store.Watches <= 60);
}

TEST_CASE("The confirmation stays recent at any rate of changes") {
  for (const auto Pause : {milliseconds(80), milliseconds(1900)}) {
    mirror_fixture Fixture;
    Fixture.Mirror.start();
    Fixture.Scheduler.advance(milliseconds(10));
    for (int Step = 0; Step < 30; ++Step) {
      Fixture.Scheduler.advance(Pause);
      Fixture.Store.put("k", std::to_string(Step));
      CHECK(Fixture.confirmationAge() < milliseconds(2300));
    }
  }
}

TEST_CASE("Frequent changes are coalesced into few calls") {
  mirror_fixture Fixture;
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  for (int Step = 0; Step < 125; ++Step) {
    Fixture.Scheduler.advance(milliseconds(80));
    Fixture.Store.put("k", std::to_string(Step));
  }
  // In ten seconds, a VM may make three of the store's 2,000 calls per second,
  // so that 600 VMs can mirror it.
  CHECK(Fixture.Store.Watches <= 30);
  Fixture.Scheduler.advance(milliseconds(500));
  CHECK(Fixture.Recorder.Items["k"] == "124");
}

TEST_CASE("Keys before the range are neither read nor reported") {
  mirror_fixture Fixture;
  for (int Index = 0; Index < 1000; ++Index)
    Fixture.Store.put("a/" + std::to_string(Index), "a long segment");
  Fixture.Store.put("c", "1");
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  CHECK(Fixture.Store.ItemsRead == 1);
  CHECK(Fixture.Recorder.Items["c"] == "1");
  // Changes of such keys are ignored too.
  Fixture.Store.put("a/new", "segment");
  CHECK(Fixture.Recorder.Items.size() == 1);
}

TEST_CASE("An outage is reported once, and nothing is confirmed during it") {
  mirror_fixture Fixture;
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  Fixture.Store.IsDown = true;
  Fixture.Scheduler.advance(milliseconds(10000));
  CHECK(Fixture.Recorder.Lost == 1);
  CHECK(Fixture.confirmationAge() > milliseconds(7000));
  const auto Reads = Fixture.Store.Reads;
  CHECK(Reads < 30);
  Fixture.Store.IsDown = false;
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Recorder.Regained == 2);
  CHECK(Fixture.confirmationAge() < milliseconds(1100));
}

TEST_CASE("A key that expired during an outage is reported as such") {
  mirror_fixture Fixture;
  Fixture.Store.put("k", "1");
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  Fixture.Store.IsDown = true;
  Fixture.Scheduler.advance(milliseconds(5000));
  Fixture.Store.removeSilently("k");
  Fixture.Store.IsDown = false;
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Recorder.Removals["k"] == removal_cause::MissingAfterOutage);
}

TEST_CASE("Compacted history makes the mirror read the whole range again") {
  mirror_fixture Fixture;
  Fixture.Store.put("k", "1");
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  Fixture.Store.removeSilently("k");
  Fixture.Store.compactHistory();
  Fixture.Scheduler.advance(milliseconds(10));
  CHECK(Fixture.Recorder.Items.empty());
  CHECK(Fixture.Recorder.Removals["k"] == removal_cause::Removed);
  CHECK(Fixture.Recorder.Lost == 0);
}

TEST_CASE("No change is lost when a watch fails") {
  mirror_fixture Fixture;
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  Fixture.Store.breakWatch();
  Fixture.Store.put("k", "1");
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Recorder.Items["k"] == "1");
}

TEST_CASE("A restored store is read again, in spite of its lower revisions") {
  mirror_fixture Fixture;
  Fixture.Store.put("c", "old");
  Fixture.Store.put("d", "1");
  Fixture.Store.makeCopy();
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  for (const char *Value : {"a", "b", "new"}) {
    Fixture.Store.put("c", Value);
    Fixture.Scheduler.advance(milliseconds(500));
  }
  Fixture.Store.put("e", "1");
  Fixture.Scheduler.advance(milliseconds(500));
  Fixture.Store.restore();
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Recorder.Items["c"] == "old");
  CHECK(Fixture.Recorder.Restored == 1);
  // The lease or the write of the missing key may be repeated.
  CHECK(Fixture.Recorder.Removals["e"] == removal_cause::MissingAfterOutage);
  // The number of this revision was given out before.
  Fixture.Store.put("c", "repeated");
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Recorder.Items["c"] == "repeated");
  CHECK(Fixture.Recorder.CopyEnd < Fixture.Store.Items["c"].Revision);
}

TEST_CASE("A restoration seen by another call is applied at once") {
  mirror_fixture Fixture;
  Fixture.Store.put("c", "old");
  Fixture.Store.makeCopy();
  Fixture.Store.setRestorationHandler(
      [&] { Fixture.Mirror.onStoreRestored(); });
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  Fixture.Store.put("c", "new");
  Fixture.Scheduler.advance(milliseconds(500));
  const auto Reads = Fixture.Store.Reads;
  Fixture.Store.restore(true);
  Fixture.Scheduler.advance(milliseconds(10));
  CHECK(Fixture.Recorder.Items["c"] == "old");
  // The watch that was cut starts no second read.
  Fixture.Scheduler.advance(milliseconds(3000));
  CHECK(Fixture.Store.Reads == Reads + 1);
  CHECK(Fixture.Recorder.Lost == 0);
}

TEST_CASE("The first read is told once, before the items, and is no "
          "restoration") {
  mirror_fixture Fixture;
  Fixture.Store.put("c", "old");
  Fixture.Store.makeCopy();
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(10));
  CHECK(Fixture.Recorder.FirstReads == 1);
  CHECK(Fixture.Recorder.Restored == 0);
  Fixture.Store.restore();
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Recorder.FirstReads == 1);
  CHECK(Fixture.Recorder.Restored == 1);
}

TEST_CASE("A second restoration is detected like the first one") {
  mirror_fixture Fixture;
  Fixture.Store.put("c", "old");
  Fixture.Store.makeCopy();
  Fixture.Mirror.start();
  for (int Round = 1; Round <= 2; ++Round) {
    Fixture.Store.put("c", "new");
    Fixture.Scheduler.advance(milliseconds(1000));
    CHECK(Fixture.Recorder.Items["c"] == "new");
    Fixture.Store.restore();
    Fixture.Scheduler.advance(milliseconds(1000));
    CHECK(Fixture.Recorder.Items["c"] == "old");
    CHECK(Fixture.Recorder.Restored == Round);
  }
}

TEST_CASE("A VM that relies on others asks the store itself when they stop") {
  mirror_fixture Fixture;
  Fixture.Mirror.setConfirmationSource(confirmation_source::Peers);
  Fixture.Mirror.start();
  const auto Run = [&](int Seconds, bool HearsPeers) {
    milliseconds Oldest{0};
    for (int Step = 0; Step < 10 * Seconds; ++Step) {
      Fixture.Scheduler.advance(milliseconds(100));
      const steady_time Heard = Fixture.Scheduler.now() - milliseconds(500);
      Fixture.Mirror.onConfirmationAge(
          HearsPeers ? Heard : Fixture.Recorder.ConfirmedAt);
      Oldest = std::max(Oldest, Fixture.confirmationAge());
    }
    return Oldest;
  };
  Run(30, true);
  CHECK(Fixture.Store.Watches <= 6);
  CHECK(Run(20, false) < milliseconds(7000));
  Fixture.Recorder.ConfirmedAt = Fixture.Scheduler.now();
  // From now on its own confirmations replace those of the others.
  CHECK(Run(20, false) < milliseconds(2600));
}

TEST_CASE("A change ends a long watch at once") {
  mirror_fixture Fixture;
  Fixture.Mirror.setConfirmationSource(confirmation_source::Peers);
  Fixture.Mirror.start();
  Fixture.Scheduler.advance(milliseconds(100));
  Fixture.Store.put("c", "1");
  CHECK(Fixture.Recorder.Items["c"] == "1");
}
