#pragma once

#include "rollout_simulation.h"

#include <doctest/doctest.h>

#include <string>

namespace azurehaven {

constexpr unsigned SeedCount = 12;

/// The traffic of a plain service with four endpoints, on five VMs.
inline simulated_day plainDay() {
  simulated_day Day;
  Day.VmCount = 5;
  Day.IsPlain = true;
  Day.EndpointsOfRelease = 4;
  Day.RequestsPerSecond = 13;
  Day.TimeLimit = milliseconds(16000);
  Day.UsualFailures = 0.01;
  return Day;
}

inline simulated_day slowDay() {
  simulated_day Day = plainDay();
  Day.TargetFault = simulated_fault{.Share = 1.0 / 3, .Slowdown = 4};
  return Day;
}

inline void checkExposure(const simulated_day &Day,
                          const simulation_result &Result) {
  CHECK(Result.TargetRequests <=
        Day.Exposure.Share * Result.Requests + Day.Exposure.Slack);
}

inline void checkNotCompleted(const simulated_day &Day) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    const simulation_result Result = simulateRollout(Day, Seed);
    CAPTURE(Seed);
    CHECK(std::string(nameOf(Result.Outcome)) == "rolled_back");
    checkExposure(Day, Result);
  }
}

inline void checkCompleted(const simulated_day &Day) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    const simulation_result Result = simulateRollout(Day, Seed);
    CAPTURE(Seed);
    CHECK(std::string(nameOf(Result.Outcome)) == "completed");
    CHECK(Result.DecidedAt <= Day.TimeLimit);
    checkExposure(Day, Result);
  }
}

} // namespace azurehaven
