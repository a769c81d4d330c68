#include "LibDispatch/rollout_schedule.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Sessions keep their release in the first half of the time limit.
constexpr double SessionMoveProgress = 0.52;
/// From the start of the shift to its end. The target's engines start without
/// cached prompts; a gradual shift lets those of the old release serve while
/// the new ones fill their caches.
constexpr milliseconds ShiftTime{1000};
/// From the end of the shift to completion, which stops the old endpoints:
/// their last requests finish.
constexpr milliseconds DrainTime{300};
/// From completion to the time limit, for the write of the outcome.
constexpr milliseconds CompletionMargin{1000};
/// The times above are shortened for a shorter time limit.
constexpr milliseconds UnshortenedTimeLimit{10000};

} // namespace

milliseconds rollout_schedule::fullExposure() const {
  return TimeLimit - ShiftEnd + (ShiftEnd - ShiftStart) / 2;
}

rollout_schedule scheduleFor(milliseconds TimeLimit) {
  const double Scale =
      std::min(1.0, static_cast<double>(TimeLimit.count()) /
                        static_cast<double>(UnshortenedTimeLimit.count()));
  const auto Scaled = [Scale](milliseconds Time) {
    return milliseconds(
        std::llround(static_cast<double>(Time.count()) * Scale));
  };
  rollout_schedule Schedule;
  Schedule.TimeLimit = TimeLimit;
  Schedule.SessionMove = milliseconds(std::llround(
      static_cast<double>(TimeLimit.count()) * SessionMoveProgress));
  Schedule.Completion = TimeLimit - Scaled(CompletionMargin);
  Schedule.ShiftEnd = Schedule.Completion - Scaled(DrainTime);
  Schedule.ShiftStart = Schedule.ShiftEnd - Scaled(ShiftTime);
  return Schedule;
}

} // namespace azurehaven
