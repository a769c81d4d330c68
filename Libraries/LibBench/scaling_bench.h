#pragma once

#include <nlohmann/json.hpp>

namespace azurehaven::bench {

/// Measures how state, message sizes and processor time grow with the fleet.
/// docs/CAPACITY.md is computed from these slopes.
nlohmann::json runScalingBench();

} // namespace azurehaven::bench
