#pragma once

#include "LibTypes/units.h"

#include <mutex>
#include <string>
#include <vector>

namespace azurehaven::platform {

/// What a fault_interval may excuse.
enum class fault_kind {
  /// The process can't answer: killed, paused.
  Process,
  /// A planned stop of the process.
  Stop,
  /// The store, or the way to it.
  Store,
  /// An endpoint, or the way to it.
  Endpoint,
};

struct fault_interval {
  fault_kind Kind;
  /// The entry process or endpoint; empty for all.
  std::string Target;
  steady_time From;
  steady_time To = steady_time::max();
};

/// The troubles of one soak with their times. Thread-safe.
class fault_log {
public:
  std::size_t begin(fault_kind Kind, const std::string &Target) {
    std::lock_guard Lock(Mutex);
    FaultIntervals.push_back({Kind, Target, std::chrono::steady_clock::now()});
    return FaultIntervals.size() - 1;
  }
  void end(std::size_t Number) {
    std::lock_guard Lock(Mutex);
    FaultIntervals[Number].To = std::chrono::steady_clock::now();
  }
  std::vector<fault_interval> all() {
    std::lock_guard Lock(Mutex);
    return FaultIntervals;
  }

private:
  std::mutex Mutex;
  std::vector<fault_interval> FaultIntervals;
};

} // namespace azurehaven::platform
