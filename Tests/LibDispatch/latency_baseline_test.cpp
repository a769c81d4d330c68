#include "LibDispatch/latency_baseline.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const model_id Model("m");

} // namespace

TEST_CASE("Nothing is slow until the usual latency is known") {
  latency_baseline Baseline;
  for (int Sample = 0; Sample < 7; ++Sample)
    Baseline.add("r", Model, 20);
  CHECK_FALSE(Baseline.isSlow("r", Model, 10000));
  Baseline.add("r", Model, 20);
  CHECK(Baseline.isSlow("r", Model, 61));
  CHECK_FALSE(Baseline.isSlow("r", Model, 59));
  CHECK_FALSE(Baseline.isSlow("other", Model, 10000));
}

TEST_CASE("A latency that varies by itself makes few responses slow") {
  latency_baseline Baseline;
  // Two of ten responses take ten times as long as the others.
  int SlowCount = 0;
  for (int Sample = 0; Sample < 1000; ++Sample) {
    const double Ms = Sample % 5 == 0 ? 500 : 50;
    SlowCount += Baseline.isSlow("r", Model, Ms);
    Baseline.add("r", Model, Ms);
  }
  CHECK(SlowCount < 50);
  CHECK(Baseline.isSlow("r", Model, 8 * 500));
}
