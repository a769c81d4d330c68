#include "LibDispatch/retry_allowance.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const service_id Service("s");

} // namespace

TEST_CASE("The VMs together stay within the fleet's bound") {
  const retry_terms Terms{0.9, milliseconds(10000), 50};
  constexpr std::size_t VmCount = 5;
  constexpr int RequestsEach = 20;
  int Taken = 0;
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    retry_allowance Allowance(Terms);
    for (int Index = 0; Index < RequestsEach; ++Index)
      Allowance.requestArrived(Service, Start);
    while (Allowance.tryTake(Service, VmCount, Start))
      ++Taken;
  }
  CHECK(Taken <= 0.9 * RequestsEach * VmCount + 50);
  CHECK(Taken > 50);
}

TEST_CASE("Repeats count until the window has passed") {
  retry_allowance Allowance({0, milliseconds(10000), 10});
  while (Allowance.tryTake(Service, 1, Start))
    ;
  CHECK_FALSE(Allowance.tryTake(Service, 1, Start + milliseconds(10000)));
  CHECK(Allowance.tryTake(Service, 1, Start + milliseconds(10001)));
}

TEST_CASE("Services have allowances of their own") {
  retry_allowance Allowance({0, milliseconds(10000), 10});
  while (Allowance.tryTake(Service, 1, Start))
    ;
  CHECK(Allowance.tryTake(service_id("other"), 1, Start));
}
