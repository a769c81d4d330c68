#include "LibRelay/fleet_state_updater.h"

#include "test_fleet.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

struct updater_fixture {
  test_clock Clock;
  null_event_log Log;
  metrics Metrics;
  fleet_state Fleet = testFleet();
  fleet_state_updater StateUpdater{Fleet, Clock, Log, Metrics};

  void configure(std::uint64_t Version, store_revision Revision = {}) {
    route_table::content Content;
    Content.Version = Version;
    StateUpdater.onConfiguration(std::move(Content), Revision);
  }
};

endpoint_descriptor descriptorOf(std::int64_t Incarnation,
                                 bool IsLeaving = false) {
  endpoint_descriptor Descriptor;
  Descriptor.Id = endpoint_id("e");
  Descriptor.Service = service_id("s");
  Descriptor.Incarnation = Incarnation;
  Descriptor.IsLeaving = IsLeaving;
  return Descriptor;
}

} // namespace

TEST_CASE("A configuration never reverts") {
  updater_fixture Fixture;
  Fixture.configure(5);
  Fixture.configure(3);
  CHECK(Fixture.Fleet.Routes->version() == 5);
  Fixture.configure(9);
  CHECK(Fixture.Fleet.Routes->version() == 9);
}

TEST_CASE("A delayed entry of an earlier incarnation is ignored") {
  updater_fixture Fixture;
  Fixture.StateUpdater.onEndpoint(descriptorOf(2, true), {});
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), {});
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e"))->Descriptor.IsLeaving);
}

TEST_CASE("An entry missing after an outage is removed two seconds later") {
  updater_fixture Fixture;
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), {});
  Fixture.StateUpdater.onStoreReachable();
  Fixture.StateUpdater.onEndpointGone(endpoint_id("e"),
                                      removal_cause::MissingAfterOutage);
  Fixture.StateUpdater.advance();
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
  Fixture.Clock.Now += milliseconds(2000);
  Fixture.StateUpdater.advance();
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("The two seconds start at the store's return, not at the removal") {
  updater_fixture Fixture;
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), {});
  Fixture.StateUpdater.onStoreReachable();
  Fixture.Clock.Now += milliseconds(1600);
  Fixture.StateUpdater.onEndpointGone(endpoint_id("e"),
                                      removal_cause::MissingAfterOutage);
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
  Fixture.Clock.Now += milliseconds(400);
  Fixture.StateUpdater.advance();
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("A leaving endpoint missing after an outage is removed at once") {
  updater_fixture Fixture;
  Fixture.StateUpdater.onEndpoint(descriptorOf(1, true), {});
  Fixture.StateUpdater.onEndpointGone(endpoint_id("e"),
                                      removal_cause::MissingAfterOutage);
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("A running roll-out resumes at the elapsed time of its record") {
  updater_fixture Fixture;
  const service_id Service("s");
  Fixture.StateUpdater.onRolloutRecord(
      Service, {"v2", unix_millis(1000000 - 8000)}, {{}, 6});
  Fixture.StateUpdater.onRolloutOrder(
      {Service, "v2", milliseconds(10000), {{}, 5}});
  CHECK(Fixture.Fleet.Rollouts.ruleFor(Service, Fixture.Clock.Now).Phase ==
        rollout_phase::Shift);
}

TEST_CASE("A release that is ordered again does not continue its earlier "
          "roll-out") {
  updater_fixture Fixture;
  const service_id Service("s");
  Fixture.StateUpdater.onRolloutRecord(
      Service, {"v2", unix_millis(1000000 - 8000), milliseconds(9500)},
      {{}, 6});
  Fixture.StateUpdater.onRolloutOrder(
      {Service, "v2", milliseconds(10000), {{}, 7}});
  const auto Summary =
      Fixture.Fleet.Rollouts.summaries(Fixture.Clock.Now).front();
  CHECK(Summary.Rule.Phase == rollout_phase::Trial);
  CHECK(Summary.Elapsed == milliseconds(0));
  CHECK_FALSE(Summary.IsShiftPostponed);
}

TEST_CASE("A VM that starts in a roll-out takes over its postponed shift") {
  updater_fixture Fixture;
  const service_id Service("s");
  Fixture.StateUpdater.onRolloutRecord(
      Service, {"v2", unix_millis(1000000 - 8000), milliseconds(9500)},
      {{}, 6});
  Fixture.StateUpdater.onRolloutOrder(
      {Service, "v2", milliseconds(10000), {{}, 5}});
  const auto Summary =
      Fixture.Fleet.Rollouts.summaries(Fixture.Clock.Now).front();
  CHECK(Summary.Rule.Phase == rollout_phase::Trial);
  CHECK(Summary.ShiftStart == milliseconds(9500));
}

namespace {

constexpr store_era NewEra{1};

struct restored_fixture : updater_fixture {
  /// Restores the store; its copy ends at revision 100.
  void restore() { StateUpdater.onStoreRestored({NewEra, 100}); }
  bool isCurrent() { return Fleet.Confirmation.isCurrent(Clock.Now); }
};

const store_revision Copied{NewEra, 90};
const store_revision Repeated{NewEra, 101};

} // namespace

TEST_CASE("A restored store confirms nothing until writes could be repeated") {
  restored_fixture Fixture;
  Fixture.configure(5);
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  Fixture.restore();
  // No confirmation extends the one from before the restoration.
  for (int Step = 0; Step < 19; ++Step) {
    Fixture.Clock.Now += milliseconds(100);
    Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  }
  CHECK(Fixture.Fleet.Confirmation.age(Fixture.Clock.Now) ==
        milliseconds(1900));
  Fixture.Clock.Now += milliseconds(100);
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  CHECK(Fixture.Fleet.Confirmation.age(Fixture.Clock.Now) == milliseconds(0));
}

TEST_CASE("A revoked key stays revoked although the copy still has it") {
  restored_fixture Fixture;
  Fixture.configure(5);
  Fixture.restore();
  Fixture.configure(4, Copied);
  CHECK(Fixture.Fleet.Routes->version() == 5);
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  CHECK_FALSE(Fixture.isCurrent());
  // An older configuration that the operators write on their way to the newest
  // one proves nothing.
  Fixture.configure(4, Repeated);
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  CHECK_FALSE(Fixture.isCurrent());
  Fixture.configure(5, {NewEra, 102});
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  CHECK(Fixture.isCurrent());
}

TEST_CASE(
    "A VM that starts as the store returns from a copy serves no key that "
    "was taken away") {
  restored_fixture Fixture;
  Fixture.StateUpdater.onStoreFirstRead();
  // The copy has the key; the operators repeat its revocation a second later.
  Fixture.configure(3, Copied);
  for (int Step = 0; Step < 10; ++Step) {
    Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
    CHECK_FALSE(Fixture.isCurrent());
    Fixture.Clock.Now += milliseconds(100);
  }
  Fixture.configure(4, Repeated);
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  CHECK_FALSE(Fixture.isCurrent());
  Fixture.configure(5, {NewEra, 102});
  Fixture.Clock.Now += milliseconds(1000);
  Fixture.StateUpdater.onConfirmed(Fixture.Clock.Now);
  CHECK(Fixture.isCurrent());
}

TEST_CASE("An endpoint that had left does not return from the copy") {
  restored_fixture Fixture;
  const auto Find = [&] {
    return Fixture.Fleet.Endpoints.find(endpoint_id("e"));
  };
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), {});
  Fixture.StateUpdater.onEndpointGone(endpoint_id("e"), removal_cause::Removed);
  Fixture.restore();
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), Copied);
  CHECK_FALSE(Find());
  SUBCASE("unless it writes its entry again") {
    Fixture.StateUpdater.onEndpoint(descriptorOf(1), Repeated);
    CHECK(Find());
  }
  SUBCASE("unless nobody has removed its entry in time") {
    Fixture.Clock.Now += milliseconds(1900);
    Fixture.StateUpdater.advance();
    CHECK_FALSE(Find());
    Fixture.Clock.Now += milliseconds(100);
    Fixture.StateUpdater.advance();
    CHECK(Find());
  }
  SUBCASE("and its removal is final") {
    Fixture.StateUpdater.onEndpointGone(endpoint_id("e"),
                                        removal_cause::MissingAfterOutage);
    Fixture.Clock.Now += milliseconds(3000);
    Fixture.StateUpdater.advance();
    CHECK_FALSE(Find());
  }
  SUBCASE("but a later start of it does") {
    Fixture.StateUpdater.onEndpoint(descriptorOf(2), Copied);
    CHECK(Find());
  }
}

TEST_CASE("An entry that the copy lacks has two seconds to be repeated") {
  restored_fixture Fixture;
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), {});
  Fixture.restore();
  Fixture.StateUpdater.onEndpointGone(endpoint_id("e"),
                                      removal_cause::MissingAfterOutage);
  Fixture.Clock.Now += milliseconds(1900);
  Fixture.StateUpdater.advance();
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
  Fixture.StateUpdater.onEndpoint(descriptorOf(1), Repeated);
  Fixture.Clock.Now += milliseconds(1000);
  Fixture.StateUpdater.advance();
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("A VM that had stopped is not listed again from the copy") {
  restored_fixture Fixture;
  const member_entry Member = testMember("vm-2");
  Fixture.StateUpdater.onMember(Member, {});
  Fixture.StateUpdater.onMemberGone(Member.Vm, removal_cause::Removed);
  Fixture.restore();
  Fixture.StateUpdater.onMember(Member, Copied);
  CHECK_FALSE(Fixture.Fleet.Members.find(Member.Vm));
  member_entry Restarted = Member;
  ++Restarted.Incarnation;
  Fixture.StateUpdater.onMember(Restarted, Repeated);
  CHECK(Fixture.Fleet.Members.find(Member.Vm));
}
