#include "LibRelay/rollout_driver.h"

#include "test_fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace azurehaven;

namespace {

class recording_publisher : public rollout_publisher {
public:
  void publish(const rollout_order &, rollout_outcome Outcome,
               store_revision Revision, std::vector<store_put> ExtraPuts,
               store_handler<store_revision> NewHandler) override {
    Outcomes.push_back(Outcome);
    Revisions.push_back(Revision);
    Records = std::move(ExtraPuts);
    Handler = std::move(NewHandler);
  }
  std::vector<rollout_outcome> Outcomes;
  std::vector<store_revision> Revisions;
  std::vector<store_put> Records;
  store_handler<store_revision> Handler;
};

class counting_announcer : public fleet_announcer {
public:
  void announce() override { ++Count; }
  int Count = 0;
};

struct driver_vm {
  explicit driver_vm(const std::string &Name)
      : Fleet(testFleet(Name, std::nullopt)) {
    for (const char *Vm : {"vm-1", "vm-2", "vm-3"})
      Fleet.Members.put(testMember(Vm));
    Fleet.Rollouts.onOrder(
        {service_id("s"), "v2", milliseconds(10000), {{}, 7}},
        order_origin::Written, std::nullopt, Clock.Now);
  }
  void advanceBy(milliseconds Time) {
    hearPeers(Time);
    Driver.advance();
  }
  void hearPeers(milliseconds Time) {
    Clock.Now += Time;
    for (const char *Vm : {"vm-1", "vm-2", "vm-3"})
      Fleet.Contacts.onNotice(vm_id(Vm), Clock.Now);
  }
  /// Lets time pass without notices of the others.
  void advanceAloneBy(milliseconds Time) {
    Clock.Now += Time;
    Driver.advance();
  }

  test_clock Clock;
  null_event_log Log;
  recording_publisher Publisher;
  fleet_state Fleet;
  counting_announcer Announcer;
  rollout_driver Driver{Fleet, Clock, Log, Publisher, Announcer};
};

} // namespace

TEST_CASE("One VM publishes an outcome; the others only if it does not") {
  int ImmediateCount = 0;
  for (const char *Name : {"vm-1", "vm-2", "vm-3"}) {
    driver_vm Vm(Name);
    Vm.advanceBy(milliseconds(0));
    ImmediateCount += static_cast<int>(Vm.Publisher.Outcomes.size());
    Vm.advanceBy(milliseconds(2000));
    CHECK(Vm.Publisher.Outcomes.size() == 1);
  }
  CHECK(ImmediateCount == 1);
}

TEST_CASE("A failed write is retried, one write at a time") {
  driver_vm Vm("vm-1");
  Vm.advanceBy(milliseconds(1000));
  Vm.advanceBy(milliseconds(1000));
  Vm.advanceBy(milliseconds(1000));
  CHECK(Vm.Publisher.Outcomes.size() == 1);
  Vm.Publisher.Handler(error{error_code::OutcomeUnknown, "lost"});
  Vm.advanceBy(milliseconds(1000));
  CHECK(Vm.Publisher.Outcomes.size() == 2);
}

TEST_CASE("An outcome that another VM has published is not published again") {
  driver_vm Vm("vm-1");
  Vm.Fleet.Rollouts.onOutcome(service_id("s"), "v2",
                              rollout_outcome::InProgress, {{}, 8});
  Vm.advanceBy(milliseconds(3000));
  CHECK(Vm.Publisher.Outcomes.empty());
}

TEST_CASE("The final outcome replaces the published one, with a record") {
  driver_vm Vm("vm-1");
  Vm.Fleet.Rollouts.onOutcome(service_id("s"), "v2",
                              rollout_outcome::InProgress, {{}, 8});
  Vm.advanceBy(milliseconds(9000));
  Vm.advanceBy(milliseconds(1000));
  REQUIRE(Vm.Publisher.Outcomes.size() == 1);
  CHECK(Vm.Publisher.Outcomes.front() == rollout_outcome::Completed);
  CHECK(Vm.Publisher.Revisions.front() == store_revision{{}, 8});
  auto Record = decodeRolloutRecord(Vm.Publisher.Records.front().Value);
  REQUIRE_FALSE(isError(Record));
  CHECK(valueOf(Record).Target == "v2");
}

TEST_CASE("A VM that does not hear of most others neither shifts its requests "
          "nor publishes a final outcome before the time limit") {
  driver_vm Vm("vm-1");
  Vm.Fleet.Rollouts.onOutcome(service_id("s"), "v2",
                              rollout_outcome::InProgress, {{}, 8});
  for (int Second = 1; Second <= 10; ++Second) {
    Vm.advanceAloneBy(milliseconds(1000));
    CHECK(Vm.Fleet.Rollouts.ruleFor(service_id("s"), Vm.Clock.Now).Phase ==
          rollout_phase::Trial);
  }
  CHECK(Vm.Publisher.Outcomes.empty());
}

TEST_CASE("A release that no VM could judge is rolled back after the time "
          "limit") {
  driver_vm Vm("vm-1");
  Vm.Fleet.Rollouts.onOutcome(service_id("s"), "v2",
                              rollout_outcome::InProgress, {{}, 8});
  for (int Second = 1; Second <= 12; ++Second)
    Vm.advanceAloneBy(milliseconds(1000));
  REQUIRE(Vm.Publisher.Outcomes.size() == 1);
  CHECK(Vm.Publisher.Outcomes.front() == rollout_outcome::RolledBack);
}

TEST_CASE("A stopping VM publishes nothing") {
  driver_vm Vm("vm-1");
  Vm.Fleet.IsStopping = true;
  Vm.advanceBy(milliseconds(3000));
  CHECK(Vm.Publisher.Outcomes.empty());
}

TEST_CASE("A plain service moves to its target at once, a service of engines "
          "bit by bit") {
  for (const bool IsPlain : {true, false}) {
    driver_vm Vm("vm-1");
    endpoint_pool Pool{service_id("s")};
    if (!IsPlain)
      Pool.Engine = engine_pool_settings{};
    Vm.Fleet.Routes =
        std::make_shared<route_table>(route_table::content{1, {}, {Pool}});
    endpoint_descriptor Endpoint;
    Endpoint.Id = endpoint_id("e");
    Endpoint.Service = service_id("s");
    Vm.Fleet.Endpoints.put(Endpoint);
    Vm.advanceBy(milliseconds(0));
    const rollout_schedule Schedule =
        scheduleFor(milliseconds(10000),
                    IsPlain ? shift_kind::Immediate : shift_kind::Gradual);
    const release_rule Rule = Vm.Fleet.Rollouts.ruleFor(
        service_id("s"), Vm.Clock.Now + Schedule.ShiftStart);
    CHECK(Rule.Phase == rollout_phase::Shift);
    CHECK((Rule.targetShare() == doctest::Approx(1)) == IsPlain);
  }
}

TEST_CASE("A record of the build before is read, and the build before reads "
          "ours") {
  const auto Previous =
      decodeRolloutRecord(R"({"began_unix_ms":1000,"target":"v2"})");
  REQUIRE_FALSE(isError(Previous));
  CHECK(valueOf(Previous).BeganAt == unix_millis(1000));
  CHECK(valueOf(Previous).ShiftStart == milliseconds(0));
  const std::string Text =
      encodeRolloutRecord({"v2", unix_millis(1000), milliseconds(9000)});
  const auto Object = nlohmann::json::parse(Text);
  CHECK(Object["target"] == "v2");
  CHECK(Object["began_unix_ms"] == 1000);
  const auto Own = decodeRolloutRecord(Text);
  REQUIRE_FALSE(isError(Own));
  CHECK(valueOf(Own).ShiftStart == milliseconds(9000));
}

TEST_CASE("A VM tells the others at once of a rejection and of its "
          "publication") {
  driver_vm Vm("vm-1");
  const auto AddTarget = [&](std::uint32_t Count, std::uint32_t Failures) {
    Vm.Fleet.ReleaseStatistics.addLocal({service_id("s"), "v2", "r"},
                                        {Count, Failures, 0, Count});
  };
  Vm.Fleet.Rollouts.onOutcome(service_id("s"), "v2",
                              rollout_outcome::InProgress, {{}, 8});
  Vm.advanceBy(milliseconds(2000));
  const int Before = Vm.Announcer.Count;
  AddTarget(20, 15);
  Vm.advanceBy(milliseconds(100));
  CHECK(Vm.Announcer.Count == Before + 1);
  Vm.advanceBy(milliseconds(400));
  REQUIRE(Vm.Publisher.Outcomes.size() == 1);
  Vm.Publisher.Handler(store_revision{{}, 9});
  CHECK(Vm.Announcer.Count == Before + 2);
  CHECK(Vm.Fleet.Rollouts.ruleFor(service_id("s"), Vm.Clock.Now).Phase ==
        rollout_phase::RolledBack);
}
