#pragma once

#include "LibTypes/units.h"

namespace azurehaven {

/// Estimates the time that engines need for prompt work, in milliseconds per
/// token of the smallest model, from the time to the first event of earlier
/// requests. Not thread-safe.
class prefill_time_estimator {
public:
  /// Work: of the request and of all pending requests ahead of it.
  void add(double Work, double Ms);
  /// Estimated time for this work, in milliseconds.
  double estimatedMs(double Work) const;

private:
  /// The initial values weigh as much as a few requests.
  double SumWork = 100000;
  double SumMs = 530;
};

} // namespace azurehaven
