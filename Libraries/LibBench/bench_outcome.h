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
  /// Requests that ended without a response, also those whose attempts failed.
  std::size_t Refused = 0;
  /// Answered requests whose time to first token met the target of the class.
  std::size_t OnTime = 0;
};

/// Results of one run. Classes and the totals computed from them leave out the
/// requests that arrived during the warm-up; BadServed, BadServedByFirstVm,
/// FalseAlarms and EngineCrashes cover the whole run.
struct bench_outcome {
  std::vector<class_outcome> Classes;
  /// Mean cost of an answered request, in micro-euros.
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
  /// Share of the requests on time since the fault was injected, of all
  /// accounts but the first, which is the flooding one in the case Flood.
  double OtherAccountsOnTime = 1;
  /// Mean wall-clock time of a plan() call, in microseconds.
  double DecisionMicroseconds = 0;
};

/// Lower bound on the expected number of requests that a degraded version
/// answers before any sequential test detects it. GoodMean and BadMean are the
/// mean ratings, between 0 and 1, before and after the drop. LogSamples is the
/// natural logarithm of the number of samples between false alarms.
/// Source: Lorden, 1971: log(samples) / Kullback-Leibler divergence.
double exposureLowerBound(double GoodMean, double BadMean, double LogSamples);

nlohmann::json encodeOutcome(const bench_outcome &Outcome);

} // namespace azurehaven::bench
