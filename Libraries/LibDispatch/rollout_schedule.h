#pragma once

#include "LibTypes/units.h"

namespace azurehaven {

/// The times of a roll-out's steps, counted from its start.
struct rollout_schedule {
  /// Until then, sessions keep the release that they use.
  milliseconds SessionMove{0};
  milliseconds ShiftStart{0};
  /// All requests go to the target from then on.
  milliseconds ShiftEnd{0};
  milliseconds Completion{0};
  milliseconds TimeLimit{0};

  /// The time during which the target gets all requests, if the time of the
  /// gradual shift counts half.
  milliseconds fullExposure() const;
};

rollout_schedule scheduleFor(milliseconds TimeLimit);

} // namespace azurehaven
