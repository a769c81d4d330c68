#pragma once

#include "LibBench/bench_outcome.h"
#include "LibBench/request_state.h"

#include <deque>

namespace azurehaven::bench {

/// Sums up the requests that arrived from CountFrom on; the other accounts'
/// punctuality is taken from FaultAt on.
bench_outcome summarize(const workload &Workload,
                        const std::deque<request_state> &States,
                        steady_time CountFrom, steady_time FaultAt);

} // namespace azurehaven::bench
