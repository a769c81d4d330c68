#pragma once

#include "LibTypes/result.h"

#include <vector>

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

} // namespace azurehaven::bench
