#pragma once

#include "LibBench/bench_flow.h"
#include "LibBench/bench_outcome.h"

#include <deque>

namespace azurehaven::bench {

/// Sums up the requests that arrived from CountFrom on; the other accounts'
/// punctuality is taken from FaultAt on.
bench_outcome summarize(const workload &Load, const std::deque<flow> &Flows,
                        steady_time CountFrom, steady_time FaultAt);

} // namespace azurehaven::bench
