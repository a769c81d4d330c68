#pragma once

#include "LibBench/policy.h"

#include <nlohmann/json.hpp>

namespace azurehaven::bench {

/// What goes wrong in a run.
enum class bench_case {
  Steady,
  /// Four times the requests for a minute.
  Flash,
  /// A quarter of the engines goes down.
  Loss,
  /// A version turns worse by 0.1, or by 0.5, while looking healthy.
  SlightlyBad,
  VeryBad,
  /// A worse version is rolled out on half of the engines.
  HalfRollOut,
  /// One account sends ten times its requests.
  Flood,
  /// A request breaks down every engine that runs it and is sent again.
  CrashCausing,
  /// Load reports are 3 s old.
  LateReports,
};

result<bench_case> parseBenchCase(const std::string &Name);
const char *nameOf(bench_case Case);
std::vector<bench_case> allBenchCases();

struct bench_settings {
  bench_case Case = bench_case::Steady;
  /// "azurehaven" or a baseline.
  std::string Policy = "azurehaven";
  std::uint64_t Seed = 1;
  std::size_t VmCount = 5;
  double Seconds = 900;
  /// Whether VMs tell each other their ratings.
  bool ArePooled = true;
};

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
  std::size_t Breakdowns = 0;
  /// Of the accounts that do not flood: requests on time, of all.
  double OthersOnTime = 1;
  /// Mean time of a plan() call, microseconds of real time.
  double DecisionMicros = 0;
};

bench_outcome runPolicyBench(workload Load, const bench_settings &Settings);

/// The least expected number of requests on a version that turned bad, for any
/// test with that many samples between false alarms.
/// Source: Lorden, 1971: log(samples) / Kullback-Leibler divergence.
double exposureBound(double GoodMean, double BadMean, double LogSamples);

nlohmann::json encodeOutcome(const bench_outcome &Outcome);

} // namespace azurehaven::bench
