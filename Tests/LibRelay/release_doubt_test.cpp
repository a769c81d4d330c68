#include "plain_release_days.h"

using namespace azurehaven;

TEST_CASE("A release that fails a third of its requests from the middle of its "
          "roll-out on is not completed") {
  simulated_day Day = plainDay();
  Day.TargetFault =
      simulated_fault{.Share = 1.0 / 3, .From = Day.TimeLimit / 2};
  checkNotCompleted(Day);
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

TEST_CASE("A good release is completed after an outage of the store") {
  simulated_day Day = plainDay();
  Day.StoreOutage = {
      .VmCount = 5, .From = milliseconds(9000), .Until = milliseconds(14500)};
  checkCompleted(Day);
}
