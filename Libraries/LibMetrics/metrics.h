#pragma once

#include "LibTypes/ranked_mutex.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace azurehaven {

/// Counters and timings of one process in Prometheus text form.
/// Thread-safe (lock_rank::Records).
class metrics {
public:
  metrics();
  ~metrics();

  /// Labels are in Prometheus form without braces, such as code="busy".
  void increment(const std::string &Name, const std::string &Labels = {},
                 std::uint64_t Added = 1);
  void observe(const std::string &Name, const std::string &Labels,
               milliseconds Value);
  std::uint64_t counterValue(const std::string &Name,
                             const std::string &Labels = {}) const;
  std::string render() const;

private:
  class timing;
  using series = std::pair<std::string, std::string>;

  mutable ranked_mutex Mutex{lock_rank::Records};
  std::map<series, std::uint64_t> Counters;
  std::map<series, std::unique_ptr<timing>> Timings;
};

/// One line of Prometheus text.
std::string renderSample(const std::string &Name, const std::string &Labels,
                         double Value);

} // namespace azurehaven
