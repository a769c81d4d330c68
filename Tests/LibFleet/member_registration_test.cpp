#include "LibFleet/member_registration.h"

#include "scripted_store.h"
#include "virtual_scheduler.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

member_entry selfEntry() {
  return {vm_id("vm-1"),
          failure_domain_id("a"),
          {"127.0.0.1", 80},
          {"127.0.0.1", 81},
          7};
}

struct registration_fixture {
  virtual_scheduler Scheduler;
  scripted_store Store{Scheduler};
  null_event_log Log;
  member_registration Registration{Store, Scheduler, Log, selfEntry()};
};

} // namespace

TEST_CASE("A VM is registered under a lease that it renews") {
  registration_fixture Fixture;
  Fixture.Registration.start();
  const auto Item = Fixture.Store.Items.at(memberKey(vm_id("vm-1")));
  CHECK(Item.Lease == Fixture.Store.LiveLease);
  auto Decoded = decodeMember(Item.Value);
  REQUIRE_FALSE(isError(Decoded));
  CHECK(valueOf(Decoded).CallerAddress.text() == "127.0.0.1:80");
  Fixture.Scheduler.advance(milliseconds(10000));
  CHECK(Fixture.Store.Renewals >= 10);
}

TEST_CASE("A VM whose lease expired registers again under a new one") {
  registration_fixture Fixture;
  Fixture.Registration.start();
  Fixture.Store.LiveLease = NoLease;
  Fixture.Store.Items.clear();
  Fixture.Scheduler.advance(milliseconds(2000));
  CHECK(Fixture.Store.Items.contains(memberKey(vm_id("vm-1"))));
}

TEST_CASE("A VM that starts during a store outage registers after it") {
  registration_fixture Fixture;
  Fixture.Store.IsDown = true;
  Fixture.Registration.start();
  Fixture.Scheduler.advance(milliseconds(5000));
  CHECK(Fixture.Store.Items.empty());
  Fixture.Store.IsDown = false;
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Store.Items.contains(memberKey(vm_id("vm-1"))));
}

TEST_CASE("A planned stop ends the lease and acquires no other") {
  registration_fixture Fixture;
  Fixture.Registration.start();
  const store_lease Lease = Fixture.Store.LiveLease;
  Fixture.Registration.leave();
  CHECK(Fixture.Store.EndedLease == Lease);
  Fixture.Scheduler.advance(milliseconds(5000));
  CHECK(Fixture.Store.LiveLease == Lease);
}

TEST_CASE("Invalid member entries are rejected") {
  for (const char *Text :
       {"", "[]", "{}", R"({"vm":"a","caller_address":"x"})",
        R"({"vm":"","failure_domain":"a","caller_address":"127.0.0.1:1",)"
        R"("peer_address":"127.0.0.1:2","incarnation":1})"}) {
    CAPTURE(Text);
    CHECK(isError(decodeMember(Text)));
  }
}

TEST_CASE("A VM registers again in a store that was restored") {
  registration_fixture Fixture;
  Fixture.Store.makeCopy();
  Fixture.Registration.start();
  Fixture.Scheduler.advance(milliseconds(3000));
  const store_lease Before = Fixture.Store.LiveLease;
  Fixture.Store.restore();
  // Another VM gets a lease with the same number.
  Fixture.Store.NextLease = Before.Id - 1;
  Fixture.Store.grantLease(milliseconds(2500), [](result<store_lease>) {});
  const store_lease Other = Fixture.Store.LiveLease;
  REQUIRE(Other.Id == Before.Id);
  Fixture.Scheduler.advance(milliseconds(2000));
  REQUIRE(Fixture.Store.Items.contains(memberKey(vm_id("vm-1"))));
  const auto Item = Fixture.Store.Items.at(memberKey(vm_id("vm-1")));
  CHECK_FALSE(Item.Lease == Other);
  CHECK(Item.Lease == Fixture.Store.LiveLease);
}

TEST_CASE("A lease that is granted during a planned stop is ended") {
  registration_fixture Fixture;
  Fixture.Store.DelaysGrants = true;
  Fixture.Registration.start();
  Fixture.Registration.leave();
  Fixture.Scheduler.advance(milliseconds(1000));
  CHECK(Fixture.Store.EndedLease == Fixture.Store.LiveLease);
  CHECK(Fixture.Store.Items.empty());
}

TEST_CASE("A VM whose entry goes with an earlier lease is on the list again "
          "within a lease") {
  registration_fixture Fixture;
  Fixture.Registration.start();
  const std::string Key = memberKey(vm_id("vm-1"));
  const store_lease Lease = Fixture.Store.LiveLease;
  // A write under the first lease was carried out late; that lease has ended.
  Fixture.Store.Items.erase(Key);
  for (milliseconds Passed{0}; Passed < milliseconds(2500);
       Passed += milliseconds(100)) {
    Fixture.Registration.checkListed(Fixture.Store.Items.contains(Key));
    Fixture.Scheduler.advance(milliseconds(100));
  }
  REQUIRE(Fixture.Store.Items.contains(Key));
  CHECK(Fixture.Store.Items.at(Key).Lease == Lease);
}

TEST_CASE("A VM that is leaving does not restore its entry") {
  registration_fixture Fixture;
  Fixture.Registration.start();
  Fixture.Registration.leave();
  Fixture.Store.Items.clear();
  for (int Check = 0; Check < 30; ++Check) {
    Fixture.Registration.checkListed(false);
    Fixture.Scheduler.advance(milliseconds(100));
  }
  CHECK(Fixture.Store.Items.empty());
}

TEST_CASE("Restoring a missing entry takes few writes while the store does not "
          "list it") {
  registration_fixture Fixture;
  Fixture.Registration.start();
  const std::size_t Before = Fixture.Store.Commits.size();
  for (int Check = 0; Check < 100; ++Check) {
    Fixture.Registration.checkListed(false);
    Fixture.Scheduler.advance(milliseconds(100));
  }
  CHECK(Fixture.Store.Commits.size() - Before <= 10);
}
