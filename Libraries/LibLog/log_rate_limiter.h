#pragma once

#include "LibLog/event_log.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace azurehaven {

/// Decides which lines are written when there are too many: routine ones give
/// way first, each kind is counted. Not thread-safe.
class log_rate_limiter {
public:
  struct limits {
    double RoutineLinesPerSecond = 300;
    double ImportantLinesPerSecond = 300;
    /// How many seconds' worth of lines may come at once.
    double BurstSeconds = 4;
    /// Bytes that may wait to be written; routine lines get half of it.
    std::size_t WaitingBytes = 1 << 20;
  };

  explicit log_rate_limiter(limits Terms);

  bool admit(log_level Level, std::string_view Event, std::size_t WaitingBytes,
             steady_time Now);
  /// Counts of lines left out since the last call, by event.
  std::map<std::string, std::uint64_t> takeDroppedCounts();

private:
  struct bucket {
    double Rate = 0;
    double Size = 0;
    double Tokens = 0;
    steady_time FilledAt;
    bool tryTake(steady_time Now);
  };

  limits Terms;
  bucket Routine;
  bucket Important;
  std::map<std::string, std::uint64_t> LeftOut;
};

} // namespace azurehaven
