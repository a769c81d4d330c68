#include "LibBench/policy_bench.h"

#include "LibBench/policy_simulation.h"

namespace azurehaven::bench {

bench_outcome runPolicyBench(workload Load, const bench_settings &Settings) {
  return simulation(std::move(Load), Settings).run();
}

} // namespace azurehaven::bench
