#pragma once

#include "LibTypes/units.h"

namespace azurehaven {

/// How all requests move to the target before completion.
enum class shift_kind {
  /// Bit by bit: the target's engines start without cached prompts, and those
  /// of the old release serve while the new ones fill their caches.
  Gradual,
  /// At once, so that the target has its full load for as long as its exposure
  /// allows.
  Immediate,
};

/// The times of a roll-out's steps, counted from its start.
struct rollout_schedule {
  /// Until then, sessions keep the release that they use.
  milliseconds SessionMove{0};
  /// The trial begins: all VMs have read the order and agree on its share.
  milliseconds TrialStart{0};
  milliseconds ShiftStart{0};
  /// All requests go to the target from then on.
  milliseconds ShiftEnd{0};
  milliseconds Completion{0};
  /// A later completion might not be in the store by the time limit.
  milliseconds LatestCompletion{0};
  milliseconds TimeLimit{0};

  /// The time during which the target gets all requests, if the time of the
  /// gradual shift counts half.
  milliseconds fullExposure() const;
  /// The latest start of a shift after which the old endpoints are given the
  /// time to finish their last requests.
  milliseconds latestShift() const;
  /// The schedule with a shift that was postponed to this time, and shortened
  /// if the time is short. No change if that is not later.
  rollout_schedule withShiftAt(milliseconds Start) const;

private:
  /// From the end of a postponed shift to completion.
  milliseconds drain() const;
};

rollout_schedule scheduleFor(milliseconds TimeLimit,
                             shift_kind Kind = shift_kind::Gradual);

} // namespace azurehaven
