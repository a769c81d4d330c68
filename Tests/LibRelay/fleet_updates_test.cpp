#include "LibRelay/fleet_updates.h"

#include "test_fleet.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

struct updates_fixture {
  test_clock Clock;
  null_event_log Log;
  metrics Metrics;
  fleet_state Fleet = testFleet();
  fleet_updates Updates{Fleet, Clock, Log, Metrics};

  void configure(std::uint64_t Version) {
    route_table::content Content;
    Content.Version = Version;
    Updates.onConfiguration(std::move(Content));
  }
};

endpoint_facts factsOf(std::int64_t Incarnation, bool IsLeaving = false) {
  endpoint_facts Facts;
  Facts.Id = endpoint_id("e");
  Facts.Service = service_id("s");
  Facts.Incarnation = Incarnation;
  Facts.IsLeaving = IsLeaving;
  return Facts;
}

} // namespace

TEST_CASE("A configuration never reverts") {
  updates_fixture Fixture;
  Fixture.configure(5);
  Fixture.configure(3);
  CHECK(Fixture.Fleet.Routes->version() == 5);
  Fixture.configure(9);
  CHECK(Fixture.Fleet.Routes->version() == 9);
}

TEST_CASE("A delayed entry of an earlier start changes nothing") {
  updates_fixture Fixture;
  Fixture.Updates.onEndpoint(factsOf(2, true));
  Fixture.Updates.onEndpoint(factsOf(1));
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e"))->Facts.IsLeaving);
}

TEST_CASE("An entry missing after an outage is gone two seconds later") {
  updates_fixture Fixture;
  Fixture.Updates.onEndpoint(factsOf(1));
  Fixture.Updates.onStoreReachable();
  Fixture.Updates.onEndpointGone(endpoint_id("e"),
                                 removal_cause::MissingAfterOutage);
  Fixture.Updates.advance();
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
  Fixture.Clock.Now += milliseconds(2000);
  Fixture.Updates.advance();
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("The two seconds run from the store's return, not from the removal") {
  updates_fixture Fixture;
  Fixture.Updates.onEndpoint(factsOf(1));
  Fixture.Updates.onStoreReachable();
  Fixture.Clock.Now += milliseconds(1600);
  Fixture.Updates.onEndpointGone(endpoint_id("e"),
                                 removal_cause::MissingAfterOutage);
  CHECK(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
  Fixture.Clock.Now += milliseconds(400);
  Fixture.Updates.advance();
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("A leaving endpoint that vanishes is gone at once") {
  updates_fixture Fixture;
  Fixture.Updates.onEndpoint(factsOf(1, true));
  Fixture.Updates.onEndpointGone(endpoint_id("e"),
                                 removal_cause::MissingAfterOutage);
  CHECK_FALSE(Fixture.Fleet.Endpoints.find(endpoint_id("e")));
}

TEST_CASE("A roll-out under way is taken up where its record says") {
  updates_fixture Fixture;
  const service_id Service("s");
  Fixture.Updates.onRolloutRecord(Service, {"v2", unix_millis(1000000 - 8000)});
  Fixture.Updates.onRolloutOrder({Service, "v2", milliseconds(10000), 5});
  CHECK(Fixture.Fleet.Rollouts.ruleFor(Service, Fixture.Clock.Now).Phase ==
        rollout_phase::Shift);
}
