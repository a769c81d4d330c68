#pragma once

#include "LibTypes/units.h"

#include <optional>
#include <string>

namespace azurehaven {

enum class rollout_phase {
  None,
  /// A small share of new sessions goes to the target.
  Trial,
  /// A growing share of the requests, up to all of them, goes to the target.
  Shift,
  /// The fleet has found the target to be worse. No session moves to it, and
  /// those on it stay until its roll-back is published.
  Rejected,
  /// Only the target gets requests.
  Completed,
  /// The target gets no requests.
  RolledBack,
};

/// Which releases of a service a request may go to.
struct release_rule {
  rollout_phase Phase = rollout_phase::None;
  std::string Target;
  /// Fraction of the requests that go to the target, apart from those of
  /// sessions that keep their release.
  double TargetShare = 0;
  /// Multiplies the share for the request's route.
  double RouteFactor = 1;
  /// Whether sessions on the old release must stay there for now.
  bool PinsSessions = false;
  /// When the roll-out began.
  steady_time Since{};
};

/// The phase's name in logs.
const char *nameOf(rollout_phase Phase);

enum class release_choice { Any, Target, NotTarget };

/// What decided the release of a request.
enum class release_reason {
  NoRollout,
  /// Its session is on the target already.
  SessionOnTarget,
  /// Its session must stay on its release for now.
  SessionPinned,
  /// The sample is in, or outside, the target's share.
  InShare,
  OutsideShare,
  Rejected,
  Completed,
  RolledBack,
};

/// The reason's name in logs.
const char *nameOf(release_reason Reason);

struct release_decision {
  release_choice Choice = release_choice::Any;
  release_reason Reason = release_reason::NoRollout;
};

/// Selects the release for one request. Pinned is the release that its session
/// uses; Sample is a pseudo-random number in [0, 1), equal for requests that
/// have to move to the target together.
release_decision chooseRelease(const release_rule &Rule,
                               const std::optional<std::string> &Pinned,
                               double Sample);

} // namespace azurehaven
