#pragma once

#include "LibTypes/units.h"

#include <optional>
#include <string>
#include <vector>

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
  /// Fraction of the sessions that the trial gets.
  double TrialShare = 0;
  /// Fraction of the prompts that have moved to the target since the shift
  /// began.
  double ShiftedShare = 0;
  /// Fraction of the target's endpoints that the trial uses.
  double TrialEndpointShare = 0;
  /// Turn of the trial; in each, it uses other endpoints of the target.
  std::size_t TrialRotation = 0;
  /// Whether sessions on the old release must stay there for now.
  bool PinsSessions = false;
  /// When the roll-out began.
  steady_time Since{};
  /// Releases that were rolled back before; they get no requests.
  std::vector<std::string> Withdrawn{};

  /// Fraction of the requests that go to the target, apart from those of
  /// sessions that keep their release.
  double targetShare() const {
    return TrialShare + (1 - TrialShare) * ShiftedShare;
  }
  bool isWithdrawn(const std::string &Release) const;
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
  /// Its session belongs to the trial.
  InTrial,
  /// Its prompt has been shifted.
  Shifted,
  NotSelected,
  /// It has failed on the target, which is on trial.
  FailedOnTarget,
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

/// Pseudo-random numbers in [0, 1) by which requests are divided between the
/// releases, the same on all VMs.
struct release_samples {
  /// Equal for the requests of a session, so that the trial gets its share of
  /// every route.
  double Session = 0;
  /// Equal for requests with a common prompt prefix, so that they are shifted
  /// together and the prefix stays cached.
  double Prompt = 0;
};

/// Selects the release for one request. Pinned is the release that its session
/// uses.
release_decision chooseRelease(const release_rule &Rule,
                               const std::optional<std::string> &Pinned,
                               const release_samples &Samples);

} // namespace azurehaven
