#include "LibRollout/rollout_schedule.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Sessions keep their release in the first half of the time limit.
constexpr double SessionMoveProgress = 0.52;
/// From the start of a gradual shift to its end.
constexpr milliseconds GradualShiftTime{1000};
/// From the end of the shift to completion, which stops the old endpoints:
/// their last requests finish.
constexpr milliseconds DrainTime{300};
/// From an immediate shift to completion: faults that show only under the
/// target's full load are seen, and counted on all VMs.
constexpr milliseconds FullLoadTime{1200};
/// From completion to the time limit, for the write of the outcome. After an
/// immediate shift, more of the exposure goes to the time before completion.
constexpr milliseconds GradualCompletionMargin{1000};
constexpr milliseconds ImmediateCompletionMargin{500};
/// After this time all VMs have read the order and know the rate of requests.
constexpr milliseconds OrderSpreadTime{1500};
/// The times above are shortened for a shorter time limit.
constexpr milliseconds UnshortenedTimeLimit{10000};

} // namespace

milliseconds rollout_schedule::fullExposure() const {
  const milliseconds Full = TimeLimit - ShiftEnd + (ShiftEnd - ShiftStart) / 2;
  return std::max(Full, milliseconds(0));
}

milliseconds rollout_schedule::latestShift() const {
  return LatestCompletion - drain();
}

milliseconds rollout_schedule::drain() const {
  return std::min(Completion - ShiftEnd, DrainTime);
}

rollout_schedule rollout_schedule::withShiftAt(milliseconds Start) const {
  if (Start <= ShiftStart)
    return *this;
  rollout_schedule Postponed = *this;
  Postponed.ShiftStart = Start;
  Postponed.ShiftEnd =
      std::max(Start, std::min(Start + (ShiftEnd - ShiftStart), latestShift()));
  Postponed.Completion = std::max(Completion, Postponed.ShiftEnd + drain());
  return Postponed;
}

rollout_schedule scheduleFor(milliseconds TimeLimit, shift_kind Kind) {
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
  Schedule.TrialStart = Scaled(OrderSpreadTime);
  Schedule.LatestCompletion = TimeLimit - Scaled(ImmediateCompletionMargin);
  const bool IsGradual = Kind == shift_kind::Gradual;
  Schedule.Completion =
      TimeLimit -
      Scaled(IsGradual ? GradualCompletionMargin : ImmediateCompletionMargin);
  Schedule.ShiftEnd =
      Schedule.Completion - Scaled(IsGradual ? DrainTime : FullLoadTime);
  Schedule.ShiftStart = Schedule.ShiftEnd -
                        Scaled(IsGradual ? GradualShiftTime : milliseconds(0));
  return Schedule;
}

} // namespace azurehaven
