#pragma once

#include "LibTypes/ranked_mutex.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace azurehaven {

/// Counters and duration histograms of one process, rendered in the Prometheus
/// text format.
/// Thread-safe (lock_rank::Records).
class metrics {
public:
  metrics();
  ~metrics();

  /// Labels are in the Prometheus format without braces, such as code="busy".
  void increment(const std::string &Name, const std::string &Labels = {},
                 std::uint64_t Increment = 1);
  /// Adds a duration to the histogram and the quantiles of its series.
  void observe(const std::string &Name, const std::string &Labels,
               milliseconds Value);
  /// Returns 0 for a counter that was never incremented.
  std::uint64_t counterValue(const std::string &Name,
                             const std::string &Labels = {}) const;
  std::string render() const;

private:
  /// Histogram and quantiles of the durations of one series.
  class duration_summary;
  /// Name and labels.
  using series = std::pair<std::string, std::string>;

  mutable ranked_mutex Mutex{lock_rank::Records};
  std::map<series, std::uint64_t> Counters;
  std::map<series, std::unique_ptr<duration_summary>> Durations;
};

/// Renders one sample as a line of the Prometheus text format.
std::string renderSample(const std::string &Name, const std::string &Labels,
                         double Value);

} // namespace azurehaven
