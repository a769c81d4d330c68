#pragma once

#include "LibBench/bench_case.h"
#include "LibBench/bench_outcome.h"
#include "LibBench/workload.h"

namespace azurehaven::bench {

struct bench_settings {
  bench_case Case = bench_case::Steady;
  /// "azurehaven" or the name of a baseline policy.
  std::string Policy = "azurehaven";
  std::uint64_t Seed = 1;
  std::size_t VmCount = 5;
  double DurationSeconds = 900;
  /// Whether VMs exchange their ratings by gossip.
  bool RatingsArePooled = true;
};

bench_outcome runPolicyBench(workload Workload, const bench_settings &Settings);

} // namespace azurehaven::bench
