#pragma once

#include "LibTypes/units.h"

namespace azurehaven {

/// Learns how long engines take for prompt work, in milliseconds for each
/// token of the smallest model, from requests whose first event has come.
/// Not thread-safe.
class prefill_time_estimator {
public:
  /// Work: of the request and of all that was waiting before it.
  void add(double Work, double Ms);
  /// The time that this work probably takes.
  double estimatedMs(double Work) const;

private:
  /// Weighs as much as a few requests until more are known.
  double SumWork = 100000;
  double SumMs = 530;
};

} // namespace azurehaven
