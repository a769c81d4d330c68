#pragma once

#include "LibTypes/units.h"

#include <mutex>
#include <string>
#include <vector>

namespace azurehaven::platform {

/// Determines which violations a fault excuses.
enum class fault_kind {
  /// The process is killed.
  Process,
  /// The process is paused and can't respond.
  Pause,
  /// A planned stop of the process.
  Stop,
  /// The store, or the link to it.
  Store,
  /// An endpoint, or the link to it.
  Endpoint,
  /// An endpoint neither reads nor writes. No fault: it goes on.
  Standstill,
};

/// Whether the entry process itself was killed or paused.
inline bool isProcessFault(fault_kind Kind) {
  return Kind == fault_kind::Process || Kind == fault_kind::Pause;
}

/// The time during which one fault was active.
struct fault_interval {
  fault_kind Kind;
  /// The entry process or endpoint affected; empty for all.
  std::string Target;
  steady_time From;
  steady_time To = steady_time::max();
};

inline bool isNotPlannedStop(const fault_interval &Fault) {
  return Fault.Kind != fault_kind::Stop;
}

/// The faults of one soak run with their times. Thread-safe.
class fault_log {
public:
  /// Returns the index of the interval, for endInterval.
  std::size_t startInterval(fault_kind Kind, const std::string &Target) {
    std::lock_guard Lock(Mutex);
    FaultIntervals.push_back({Kind, Target, std::chrono::steady_clock::now()});
    return FaultIntervals.size() - 1;
  }
  void endInterval(std::size_t Index) {
    std::lock_guard Lock(Mutex);
    FaultIntervals[Index].To = std::chrono::steady_clock::now();
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
