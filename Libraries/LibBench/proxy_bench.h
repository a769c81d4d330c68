#pragma once

#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <nlohmann/json.hpp>

namespace azurehaven::bench {

struct proxy_bench_settings {
  network_address Entry;
  /// An engine that the entry VM uses, asked directly for comparison.
  network_address Engine;
  std::string Version;
  std::string Key;
  std::string Class;
  std::vector<std::size_t> Concurrencies = {1, 50, 300};
  std::size_t MaximumRequestsPerRound = 600;
};

/// Streams through one entry process and straight to the engine, in turn, at
/// each concurrency; returns quantiles of both and their differences.
nlohmann::json runProxyBench(const proxy_bench_settings &Settings);

} // namespace azurehaven::bench
