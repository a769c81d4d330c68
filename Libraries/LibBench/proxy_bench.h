#pragma once

#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <nlohmann/json.hpp>

namespace azurehaven::bench {

struct proxy_bench_settings {
  network_address Entry;
  /// An engine that the entry VM uses; called directly for comparison.
  network_address Engine;
  /// Model version to request from the engine when it is called directly.
  std::string Version;
  std::string Key;
  std::string Class;
  std::vector<std::size_t> Concurrencies = {1, 50, 300};
  /// Each round sends at least two requests per stream, even if this is less.
  std::size_t MaximumRequestsPerRound = 600;
};

/// Streams responses through an entry process and directly from the engine, in
/// alternating rounds, at each concurrency. Returns quantiles of both and their
/// differences.
nlohmann::json runProxyBench(const proxy_bench_settings &Settings);

} // namespace azurehaven::bench
