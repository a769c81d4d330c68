#pragma once

#include "LibRollout/rollout_outcome.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace azurehaven {

/// What the VMs of the fleet agree on in one roll-out, beyond its order. Every
/// part only grows, so that VMs come to the same agreement in whatever order
/// they learn of its parts, also late or twice.
struct rollout_agreement {
  /// Fraction of the sessions that the trial gets.
  double TrialShare = 0;
  /// Larger fractions, for routes of which the trial has got too little.
  std::map<std::string, double> RouteShares;
  /// Start of the shift, counted from the start of the roll-out; zero unless
  /// it was postponed.
  milliseconds ShiftStart{0};
  /// Whether a VM has rejected the target.
  bool IsRejected = false;
  /// The final outcome that is in the store.
  std::optional<rollout_outcome> Outcome;

  /// The trial's fraction of the route's sessions.
  double trialShareOf(const std::string &Route) const;
  void raiseTrialShare(double Share);
  void raiseRouteShare(const std::string &Route, double Share);
  void postponeShift(milliseconds Start);
  /// Adds what another VM knows.
  void join(const rollout_agreement &Other);

  bool operator==(const rollout_agreement &) const = default;
};

/// How a VM knows when a roll-out began.
enum class start_source {
  /// A VM that was running has read the order.
  Observed,
  /// From the record in the store, by the wall clocks of two VMs.
  Estimated,
};

/// What one VM tells the others of a roll-out.
struct rollout_state {
  std::string Target;
  /// The store's number of the order's revision.
  std::uint64_t OrderNumber = 0;
  milliseconds Elapsed{0};
  start_source Source = start_source::Estimated;
  rollout_agreement Agreement;
};

} // namespace azurehaven
