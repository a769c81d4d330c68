#pragma once

#include "LibTypes/ids.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace azurehaven::bench {

struct class_outcome {
  class_id Class;
  double Quality = 0;
  double QualityTarget = 0;
  double Cost = 0;
  double FirstTokenP50 = 0;
  double FirstTokenP95 = 0;
  double FirstTokenP99 = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::size_t OnTime = 0;
};

struct bench_outcome {
  std::vector<class_outcome> Classes;
  double CostPerRequest = 0;
  double FirstTokenP95 = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  /// Requests answered by a bad version after it turned bad.
  std::size_t BadServed = 0;
  /// Of these, those of the first VM.
  std::size_t BadServedByFirstVm = 0;
  bool WasWithdrawn = false;
  /// Versions withdrawn although they were good.
  std::size_t FalseAlarms = 0;
  std::size_t EngineCrashes = 0;
  /// Of the accounts that do not flood: requests on time, of all.
  double OtherAccountsOnTime = 1;
  /// Mean time of a plan() call, microseconds of real time.
  double DecisionMicroseconds = 0;
};

/// The least expected number of requests on a version that turned bad, for any
/// test with that many samples between false alarms.
/// Source: Lorden, 1971: log(samples) / Kullback-Leibler divergence.
double exposureLowerBound(double GoodMean, double BadMean, double LogSamples);

nlohmann::json encodeOutcome(const bench_outcome &Outcome);

} // namespace azurehaven::bench
