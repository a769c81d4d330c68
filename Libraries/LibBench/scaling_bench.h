#pragma once

#include <nlohmann/json.hpp>

namespace azurehaven::bench {

/// Measures how state, messages and processor time grow with the fleet: the
/// slopes that docs/CAPACITY.md is worked out from.
nlohmann::json runScalingBench();

} // namespace azurehaven::bench
