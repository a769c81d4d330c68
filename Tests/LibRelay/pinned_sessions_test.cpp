#include "LibRelay/attempt_observations.h"
#include "rollout_simulation.h"
#include "test_fleet.h"

#include <doctest/doctest.h>

#include <string>

using namespace azurehaven;

namespace {

constexpr unsigned SeedCount = 12;
/// So many requests may run on another release than the one before them.
constexpr int AllowedMoves = 3;

/// Plays the day with several seeds and checks each. ExpectedOutcome: nullopt
/// if either final outcome is right.
void checkSessionsStay(const simulated_day &Day,
                       std::optional<rollout_outcome> ExpectedOutcome) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    const simulation_result Result = simulateRollout(Day, Seed);
    CAPTURE(Seed);
    CAPTURE(Result.MovedBack);
    CAPTURE(Result.MovedEarly);
    CHECK(Result.MovedBack + Result.MovedEarly <= AllowedMoves);
    CHECK(Result.Outcome != rollout_outcome::InProgress);
    if (ExpectedOutcome)
      CHECK(std::string(nameOf(Result.Outcome)) == nameOf(*ExpectedOutcome));
    CHECK(Result.TargetRequests <=
          Day.Exposure.Share * Result.Requests + Day.Exposure.Slack);
  }
}

} // namespace

TEST_CASE("Sessions stay on the new release while all notices arrive at once") {
  checkSessionsStay({}, rollout_outcome::Completed);
}

TEST_CASE("No session returns to the old release while all notices arrive at "
          "once") {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed)
    CHECK(simulateRollout({}, Seed).MovedBack == 0);
}

TEST_CASE("Sessions stay on the new release where VMs have different traffic") {
  simulated_day Day;
  Day.Unevenness = 3;
  checkSessionsStay(Day, rollout_outcome::Completed);
}

TEST_CASE("Sessions stay on the new release while notices are late and "
          "overtake each other") {
  simulated_day Day;
  Day.NoticeDelay = milliseconds(700);
  checkSessionsStay(Day, rollout_outcome::Completed);
}

TEST_CASE("Sessions stay on the new release while notices are lost") {
  simulated_day Day;
  Day.NoticeLoss = 0.3;
  checkSessionsStay(Day, rollout_outcome::Completed);
}

TEST_CASE("Sessions stay on the new release while one VM doubts it just before "
          "the shift") {
  simulated_day Day;
  Day.FailuresOfFirstVm = 4;
  Day.FailuresAt = scheduleFor(Day.TimeLimit).ShiftStart - milliseconds(60);
  Day.NoticeDelay = milliseconds(300);
  checkSessionsStay(Day, std::nullopt);
}

TEST_CASE("Sessions stay on the new release until its roll-back is in the "
          "store") {
  simulated_day Day;
  Day.FailuresOfFirstVm = 60;
  Day.FailuresAt = scheduleFor(Day.TimeLimit).ShiftStart + milliseconds(600);
  Day.WriteDelay = milliseconds(300);
  checkSessionsStay(Day, rollout_outcome::RolledBack);
}

TEST_CASE("Sessions stay on their release when a VM starts without pins") {
  simulated_day Day;
  Day.RestartAt = milliseconds(6000);
  checkSessionsStay(Day, rollout_outcome::Completed);
}

TEST_CASE("A session stays pinned while one of its requests runs for longer "
          "than the session gap") {
  const steady_time Start{std::chrono::hours(1)};
  fleet_state Fleet = testFleet();
  const null_event_log Log;
  route Route;
  Route.Kind = route_kind::Stream;
  admitted_request Admitted;
  Admitted.Route = &Route;
  Admitted.Request.Session = "s";
  Admitted.Session = 7;
  auto Endpoint = std::make_shared<endpoint_record>();
  Endpoint->Descriptor.Release = "v1";
  attempt_observations Observed(Fleet, Log, Admitted);
  Observed.onSent(Endpoint, model_id(), std::nullopt, 0, 0, Start);
  steady_time Now = Start;
  for (; Now < Start + milliseconds(15000); Now += milliseconds(100))
    Observed.refreshSessionPin(Now);
  CHECK(Fleet.Pins.find(7, "v2", Start, Now));
  Observed.onComplete(Now);
  for (; Now < Start + milliseconds(30000); Now += milliseconds(100))
    Observed.refreshSessionPin(Now);
  CHECK_FALSE(Fleet.Pins.find(7, "v2", Start, Now));
}
