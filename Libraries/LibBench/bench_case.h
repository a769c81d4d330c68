#pragma once

#include "LibTypes/result.h"

#include <vector>

namespace azurehaven::bench {

/// The fault or load change that a run injects.
enum class bench_case {
  Steady,
  /// Four times the request rate for a minute.
  Flash,
  /// A quarter of the engines crashes and stays down.
  Loss,
  /// The quality of a version drops by 0.1, or by 0.5, while its engines keep
  /// reporting as healthy.
  SlightlyBad,
  VeryBad,
  /// A version of lower quality is rolled out on half of the engines.
  HalfRollOut,
  /// One account sends ten times its request rate.
  Flood,
  /// A request crashes every engine that runs it; its caller keeps resending
  /// it.
  CrashCausing,
  /// Load reports arrive 3 s late.
  LateReports,
};

result<bench_case> parseBenchCase(const std::string &Name);
const char *nameOf(bench_case Case);
std::vector<bench_case> allBenchCases();

} // namespace azurehaven::bench
