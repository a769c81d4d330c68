#include "LibDispatch/prompt_pace.h"

namespace azurehaven {

namespace {

/// What is left of the weight of older requests with each further one.
constexpr double Retention = 0.99;
/// Work below this says more of the network than of the engine.
constexpr double LeastWork = 3000;

} // namespace

void prompt_pace::add(double Work, double Ms) {
  if (Work < LeastWork || Ms <= 0)
    return;
  SumWork = SumWork * Retention + Work;
  SumMs = SumMs * Retention + Ms;
}

double prompt_pace::msFor(double Work) const { return Work * SumMs / SumWork; }

} // namespace azurehaven
