#pragma once

#include "LibLog/event_log.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace azurehaven {

/// Limits the rate of log lines with a token bucket for routine lines (below
/// Warning) and one for important lines, and counts dropped lines by event.
/// When lines queue up, routine ones are dropped first. Not thread-safe.
class log_rate_limiter {
public:
  struct limits {
    double RoutineLinesPerSecond = 300;
    double ImportantLinesPerSecond = 300;
    /// Size of a burst, as the time in which the rate yields as many lines.
    double BurstSeconds = 4;
    /// Maximum number of bytes queued for writing; routine lines are dropped
    /// beyond half of it.
    std::size_t QueuedByteLimit = 1 << 20;
  };

  explicit log_rate_limiter(limits Limits);

  /// Returns whether the line may be written; counts it as dropped if not.
  bool admit(log_level Level, std::string_view Event, std::size_t QueuedBytes,
             steady_time Now);
  /// Takes the numbers of lines dropped since the last call, by event.
  std::map<std::string, std::uint64_t> takeDroppedCounts();

private:
  struct bucket {
    double TokensPerSecond = 0;
    double Size = 0;
    double Tokens = 0;
    steady_time RefilledAt;
    bool tryTake(steady_time Now);
  };

  limits Limits;
  bucket Routine;
  bucket Important;
  std::map<std::string, std::uint64_t> DroppedCounts;
};

} // namespace azurehaven
