#include "LibDispatch/prefill_time_estimator.h"

namespace azurehaven {

namespace {

/// What is left of the weight of older requests with each further one.
constexpr double DecayFactor = 0.99;
/// Work below this says more of the network than of the engine.
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
