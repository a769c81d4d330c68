#pragma once

#include "LibTypes/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace azurehaven {

/// Moving average of one kind of response latency, by route and model. Not
/// thread-safe.
class latency_baseline {
public:
  void add(const std::string &Route, const model_id &Model, double Ms);
  /// The average; nullopt until there are enough samples.
  std::optional<double> meanMs(const std::string &Route,
                               const model_id &Model) const;
  /// The longest of the latest latencies; nullopt if there are none.
  std::optional<double> longestMs(const std::string &Route,
                                  const model_id &Model) const;
  /// Whether this latency is several times the average, and unusual.
  bool isSlow(const std::string &Route, const model_id &Model, double Ms) const;

private:
  struct average {
    double MeanMs = 0;
    /// Moving average of the distance from the mean.
    double DeviationMs = 0;
    /// The longest latency, reduced a little by each later one.
    double LongestMs = 0;
    std::uint32_t Count = 0;
  };
  /// Null until there are enough samples.
  const average *averageOf(const std::string &Route,
                           const model_id &Model) const;

  std::map<std::pair<std::string, model_id>, average> Averages;
};

} // namespace azurehaven
