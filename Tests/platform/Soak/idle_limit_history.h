#pragma once

#include "LibTypes/units.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace azurehaven::platform {

/// An idle timeout that the operator wrote at this time.
struct written_limit {
  milliseconds Limit;
  steady_time At;
};

/// The shortest limit that was the newest one at some time of the span. The
/// limits are in the order of time.
inline milliseconds shortestWithin(const std::vector<written_limit> &Limits,
                                   steady_time From, steady_time To) {
  milliseconds Shortest = milliseconds::max();
  auto ReplacedAt = steady_time::max();
  for (auto Written = Limits.rbegin(); Written != Limits.rend(); ++Written) {
    if (Written->At <= To && ReplacedAt > From)
      Shortest = std::min(Shortest, Written->Limit);
    ReplacedAt = Written->At;
  }
  return Shortest;
}

/// The idle timeouts that the operator has written. Thread-safe.
class idle_limit_history {
public:
  void record(milliseconds Limit) {
    std::lock_guard Lock(Mutex);
    Limits.push_back({Limit, std::chrono::steady_clock::now()});
  }
  std::vector<written_limit> all() const {
    std::lock_guard Lock(Mutex);
    return Limits;
  }

private:
  mutable std::mutex Mutex;
  std::vector<written_limit> Limits;
};

} // namespace azurehaven::platform
