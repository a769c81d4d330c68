#include "LibLog/log_rate_limiter.h"

#include <algorithm>

namespace azurehaven {

log_rate_limiter::log_rate_limiter(limits Limits) : Limits(Limits) {
  Routine = {Limits.RoutineLinesPerSecond,
             Limits.RoutineLinesPerSecond * Limits.BurstSeconds,
             Limits.RoutineLinesPerSecond * Limits.BurstSeconds,
             {}};
  Important = {Limits.ImportantLinesPerSecond,
               Limits.ImportantLinesPerSecond * Limits.BurstSeconds,
               Limits.ImportantLinesPerSecond * Limits.BurstSeconds,
               {}};
}

bool log_rate_limiter::bucket::tryTake(steady_time Now) {
  const double ElapsedSeconds =
      std::chrono::duration<double>(Now - RefilledAt).count();
  RefilledAt = Now;
  Tokens = std::min(Size, Tokens + ElapsedSeconds * TokensPerSecond);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

bool log_rate_limiter::admit(log_level Level, std::string_view Event,
                             std::size_t QueuedBytes, steady_time Now) {
  const bool IsImportant = Level >= log_level::Warning;
  const std::size_t ByteLimit =
      IsImportant ? Limits.QueuedByteLimit : Limits.QueuedByteLimit / 2;
  bucket &Bucket = IsImportant ? Important : Routine;
  if (QueuedBytes < ByteLimit && Bucket.tryTake(Now))
    return true;
  ++DroppedCounts[std::string(Event)];
  return false;
}

std::map<std::string, std::uint64_t> log_rate_limiter::takeDroppedCounts() {
  return std::exchange(DroppedCounts, {});
}

} // namespace azurehaven
