#pragma once

#include "LibTypes/ids.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace azurehaven::bench {

struct class_outcome {
  class_id Class;
  double Quality = 0;
  double QualityTarget = 0;
  /// Mean cost of an answered request, in micro-euros.
  double Cost = 0;
  double FirstTokenP50Ms = 0;
  double FirstTokenP95Ms = 0;
  double FirstTokenP99Ms = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::size_t OnTime = 0;
};

/// Results of one run; requests of the warm-up don't count for the classes.
struct bench_outcome {
  std::vector<class_outcome> Classes;
  /// In micro-euros.
  double CostPerRequest = 0;
  double FirstTokenP95Ms = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  /// Requests answered by a version after its quality dropped.
  std::size_t BadServed = 0;
  /// Those of BadServed that arrived at the first VM.
  std::size_t BadServedByFirstVm = 0;
  bool WasWithdrawn = false;
  /// Versions withdrawn although their quality had not dropped.
  std::size_t FalseAlarms = 0;
  std::size_t EngineCrashes = 0;
  /// Share of requests on time, of all accounts but the flooding one.
  double OtherAccountsOnTime = 1;
  /// Mean wall-clock time of a plan() call, in microseconds.
  double DecisionMicroseconds = 0;
};

/// Lower bound on the expected number of requests that a degraded version
/// answers before any sequential test detects it. LogSamples is the logarithm
/// of the number of samples between false alarms.
/// Source: Lorden, 1971: log(samples) / Kullback-Leibler divergence.
double exposureLowerBound(double GoodMean, double BadMean, double LogSamples);

nlohmann::json encodeOutcome(const bench_outcome &Outcome);

} // namespace azurehaven::bench
