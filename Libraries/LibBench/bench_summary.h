#pragma once

#include "LibBench/bench_outcome.h"
#include "LibBench/request_state.h"

#include <deque>

namespace azurehaven::bench {

/// Aggregates the finished requests that arrived from CountFrom on, except the
/// crash-causing ones. OtherAccountsOnTime covers only requests that arrived
/// from FaultAt on. Doesn't set the fields that the simulation counts itself,
/// such as BadServed and EngineCrashes.
bench_outcome summarize(const workload &Workload,
                        const std::deque<request_state> &States,
                        steady_time CountFrom, steady_time FaultAt);

} // namespace azurehaven::bench
