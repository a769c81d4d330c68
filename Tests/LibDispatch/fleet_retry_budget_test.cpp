#include "LibDispatch/fleet_retry_budget.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const service_id Service("s");

} // namespace

TEST_CASE("All VMs together stay within the fleet's retry budget") {
  const retry_budget_limits Limits{0.9, milliseconds(10000), 50};
  constexpr std::size_t VmCount = 5;
  constexpr int RequestsEach = 20;
  int Taken = 0;
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    fleet_retry_budget Budget(Limits);
    for (int Index = 0; Index < RequestsEach; ++Index)
      Budget.recordRequest(Service, Start);
    while (Budget.tryConsume(Service, VmCount, Start))
      ++Taken;
  }
  CHECK(Taken <= 0.9 * RequestsEach * VmCount + 50);
  CHECK(Taken > 50);
}

TEST_CASE("Retries count until the window has passed") {
  fleet_retry_budget Budget({0, milliseconds(10000), 10});
  while (Budget.tryConsume(Service, 1, Start))
    ;
  CHECK_FALSE(Budget.tryConsume(Service, 1, Start + milliseconds(10000)));
  CHECK(Budget.tryConsume(Service, 1, Start + milliseconds(10001)));
}

TEST_CASE("Each service has a separate budget") {
  fleet_retry_budget Budget({0, milliseconds(10000), 10});
  while (Budget.tryConsume(Service, 1, Start))
    ;
  CHECK(Budget.tryConsume(service_id("other"), 1, Start));
}
