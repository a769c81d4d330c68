#include "LibBench/policy_bench.h"

#include "LibBench/policy_simulation.h"

namespace azurehaven::bench {

bench_outcome runPolicyBench(workload Workload,
                             const bench_settings &Settings) {
  return simulation(std::move(Workload), Settings).run();
}

} // namespace azurehaven::bench
