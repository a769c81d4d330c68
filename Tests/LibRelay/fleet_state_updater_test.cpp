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

  void configure(std::uint64_t Version) {
    route_table::content Content;
    Content.Version = Version;
    StateUpdater.onConfiguration(std::move(Content));
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
  Fixture.StateUpdater.onEndpoint(descriptorOf(2, true));
  Fixture.StateUpdater.onEndpoint(descriptorOf(1));
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e"))->Descriptor.IsLeaving);
}

TEST_CASE("An entry missing after an outage is removed two seconds later") {
  updater_fixture Fixture;
  Fixture.StateUpdater.onEndpoint(descriptorOf(1));
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
  Fixture.StateUpdater.onEndpoint(descriptorOf(1));
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
  Fixture.StateUpdater.onEndpoint(descriptorOf(1, true));
  Fixture.StateUpdater.onEndpointGone(endpoint_id("e"),
                                      removal_cause::MissingAfterOutage);
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("A running roll-out resumes at the elapsed time of its record") {
  updater_fixture Fixture;
  const service_id Service("s");
  Fixture.StateUpdater.onRolloutRecord(Service,
                                       {"v2", unix_millis(1000000 - 8000)});
  Fixture.StateUpdater.onRolloutOrder({Service, "v2", milliseconds(10000), 5});
  CHECK(Fixture.Fleet.Rollouts.ruleFor(Service, Fixture.Clock.Now).Phase ==
        rollout_phase::Shift);
}
