#include "LibLog/log_rate_limiter.h"

#include <algorithm>

namespace azurehaven {

log_rate_limiter::log_rate_limiter(limits Terms) : Terms(Terms) {
  Routine = {Terms.RoutineLinesPerSecond,
             Terms.RoutineLinesPerSecond * Terms.BurstSeconds,
             Terms.RoutineLinesPerSecond * Terms.BurstSeconds,
             {}};
  Important = {Terms.ImportantLinesPerSecond,
               Terms.ImportantLinesPerSecond * Terms.BurstSeconds,
               Terms.ImportantLinesPerSecond * Terms.BurstSeconds,
               {}};
}

bool log_rate_limiter::bucket::tryTake(steady_time Now) {
  const double Passed = std::chrono::duration<double>(Now - FilledAt).count();
  FilledAt = Now;
  Tokens = std::min(Size, Tokens + Passed * Rate);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

bool log_rate_limiter::admit(log_level Level, std::string_view Event,
                             std::size_t WaitingBytes, steady_time Now) {
  const bool IsImportant = Level >= log_level::Warning;
  const std::size_t Limit =
      IsImportant ? Terms.WaitingBytes : Terms.WaitingBytes / 2;
  bucket &Bucket = IsImportant ? Important : Routine;
  if (WaitingBytes < Limit && Bucket.tryTake(Now))
    return true;
  ++LeftOut[std::string(Event)];
  return false;
}

std::map<std::string, std::uint64_t> log_rate_limiter::takeDroppedCounts() {
  return std::exchange(LeftOut, {});
}

} // namespace azurehaven
