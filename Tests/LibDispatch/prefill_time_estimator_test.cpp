#include "LibDispatch/prefill_time_estimator.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("The estimate converges to the measured time") {
  prefill_time_estimator Estimator;
  for (int Index = 0; Index < 500; ++Index)
    Estimator.add(100000, 2000);
  CHECK(Estimator.estimatedMs(50000) == doctest::Approx(1000).epsilon(0.05));
}

TEST_CASE("Requests with very short prompts are ignored") {
  prefill_time_estimator Estimator;
  const double Before = Estimator.estimatedMs(10000);
  for (int Index = 0; Index < 500; ++Index)
    Estimator.add(10, 2000);
  CHECK(Estimator.estimatedMs(10000) == Before);
}
