#include "LibDispatch/prefill_time_estimator.h"

namespace azurehaven {

namespace {

/// Factor by which each new request reduces the weight of older ones.
constexpr double DecayFactor = 0.99;
/// Below this work, network latency dominates the measured time.
constexpr double MinimumWork = 3000;

} // namespace

void prefill_time_estimator::add(double Work, double Ms) {
  if (Work < MinimumWork || Ms <= 0)
    return;
  SumWork = SumWork * DecayFactor + Work;
  SumMs = SumMs * DecayFactor + Ms;
}

double prefill_time_estimator::estimatedMs(double Work) const {
  return Work * SumMs / SumWork;
}

} // namespace azurehaven
