#pragma once

#include <nlohmann/json.hpp>

namespace azurehaven::bench {

/// Measures state, message sizes and processor time at several sizes of the
/// fleet. docs/CAPACITY.md is computed from the slopes of these figures.
nlohmann::json runScalingBench();

} // namespace azurehaven::bench
