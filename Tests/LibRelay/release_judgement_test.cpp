#include "plain_release_days.h"

using namespace azurehaven;

TEST_CASE("A release several times slower on a third of its requests is not "
          "completed") {
  checkNotCompleted(slowDay());
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

TEST_CASE("A good release is completed while a VM is cut off from its peers") {
  simulated_day Day = plainDay();
  Day.PeerOutage = {
      .VmCount = 1, .From = milliseconds(8000), .Until = milliseconds(19000)};
  checkCompleted(Day);
}
