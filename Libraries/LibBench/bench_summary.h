#pragma once

#include "LibBench/bench_outcome.h"
#include "LibBench/request_state.h"

#include <deque>

namespace azurehaven::bench {

/// Aggregates the requests that arrived from CountFrom on. OtherAccountsOnTime
/// covers only requests that arrived from FaultAt on.
bench_outcome summarize(const workload &Workload,
                        const std::deque<request_state> &States,
                        steady_time CountFrom, steady_time FaultAt);

} // namespace azurehaven::bench
