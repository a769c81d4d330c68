#include "rollout_simulation.h"

#include <doctest/doctest.h>

#include <string>

using namespace azurehaven;

namespace {

constexpr unsigned SeedCount = 12;

/// The traffic of a plain service with four endpoints, on five VMs.
simulated_day plainDay() {
  simulated_day Day;
  Day.VmCount = 5;
  Day.IsPlain = true;
  Day.EndpointsOfRelease = 4;
  Day.RequestsPerSecond = 13;
  Day.TimeLimit = milliseconds(16000);
  Day.UsualFailures = 0.01;
  return Day;
}

simulated_day slowDay() {
  simulated_day Day = plainDay();
  Day.TargetFault = simulated_fault{.Share = 1.0 / 3, .Slowdown = 4};
  return Day;
}

void checkExposure(const simulated_day &Day, const simulation_result &Result) {
  CHECK(Result.TargetRequests <=
        Day.Exposure.Share * Result.Requests + Day.Exposure.Slack);
}

void checkNotCompleted(const simulated_day &Day) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    const simulation_result Result = simulateRollout(Day, Seed);
    CAPTURE(Seed);
    CHECK(std::string(nameOf(Result.Outcome)) == "rolled_back");
    checkExposure(Day, Result);
  }
}

void checkCompleted(const simulated_day &Day) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    const simulation_result Result = simulateRollout(Day, Seed);
    CAPTURE(Seed);
    CHECK(std::string(nameOf(Result.Outcome)) == "completed");
    CHECK(Result.DecidedAt <= Day.TimeLimit);
    checkExposure(Day, Result);
  }
}

} // namespace

TEST_CASE("A release several times slower on a third of its requests is not "
          "completed") {
  checkNotCompleted(slowDay());
}

TEST_CASE("A release that fails a third of its requests from the middle of its "
          "roll-out on is not completed") {
  simulated_day Day = plainDay();
  Day.TargetFault =
      simulated_fault{.Share = 1.0 / 3, .From = Day.TimeLimit / 2};
  checkNotCompleted(Day);
}

TEST_CASE("A slow release is not completed while a VM is cut off from its "
          "peers") {
  simulated_day Day = slowDay();
  Day.PeerOutage = {
      .VmCount = 1, .From = milliseconds(4000), .Until = milliseconds(12000)};
  checkNotCompleted(Day);
}

TEST_CASE("A slow release is not completed while the store turns VMs away") {
  simulated_day Day = slowDay();
  Day.StoreOutage = {
      .VmCount = 3, .From = milliseconds(9000), .Until = milliseconds(15800)};
  checkNotCompleted(Day);
}

TEST_CASE("A VM that holds a part of the evidence does not complete a slow "
          "release while the store is away for the others") {
  simulated_day Day = slowDay();
  Day.PeerOutage = {
      .VmCount = 1, .From = milliseconds(2000), .Until = milliseconds(19000)};
  Day.StoreOutage = {.FirstVm = 1,
                     .VmCount = 4,
                     .From = milliseconds(2000),
                     .Until = milliseconds(18000)};
  checkNotCompleted(Day);
}

TEST_CASE("A good release is completed") { checkCompleted(plainDay()); }

TEST_CASE("A good release beside a slow endpoint of either release is "
          "completed") {
  for (const char *Release : {"v1", "v2"}) {
    simulated_day Day = plainDay();
    Day.EndpointFaults.push_back(
        {Release, 1, {.Share = 1, .Slowdown = 4, .From = milliseconds(5000)}});
    CAPTURE(Release);
    checkCompleted(Day);
  }
}

TEST_CASE("A good release beside a failing endpoint of either release is "
          "completed") {
  for (const char *Release : {"v1", "v2"}) {
    simulated_day Day = plainDay();
    Day.EndpointFaults.push_back(
        {Release, 1, {.Share = 0.4, .From = milliseconds(5000)}});
    CAPTURE(Release);
    checkCompleted(Day);
  }
}

TEST_CASE("A good release is completed while a VM is cut off from its peers") {
  simulated_day Day = plainDay();
  Day.PeerOutage = {
      .VmCount = 1, .From = milliseconds(8000), .Until = milliseconds(19000)};
  checkCompleted(Day);
}

TEST_CASE("A good release is completed after an outage of the store") {
  simulated_day Day = plainDay();
  Day.StoreOutage = {
      .VmCount = 5, .From = milliseconds(9000), .Until = milliseconds(14500)};
  checkCompleted(Day);
}
