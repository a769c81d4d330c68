#pragma once

#include "LibDispatch/release_statistics.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

enum class rollout_outcome { InProgress, Completed, RolledBack };

/// For logs.
const char *nameOf(rollout_outcome Outcome);

/// The operators' order to move a service's traffic to a new release.
struct rollout_order {
  service_id Service;
  std::string Target;
  milliseconds TimeLimit{0};
  std::uint64_t Revision = 0;
};

enum class rollout_phase {
  None,
  /// A small share of new sessions tries the target.
  Trial,
  /// All new work goes to the target.
  Shift,
  /// Only the target may get work.
  Completed,
  /// The target gets no work.
  RolledBack,
};

/// Which releases of a service a request may go to.
struct release_rule {
  rollout_phase Phase = rollout_phase::None;
  std::string Target;
  /// Part of the new sessions that go to the target.
  double TargetShare = 0;
  /// Sessions may not yet move from the old release to the target.
  bool PinsSessions = false;
};

enum class release_choice { Any, Target, NotTarget };

/// The choice for one request. Pinned is the release that its session is on;
/// Draw is a number from 0 to 1 that all requests of a session share.
release_choice chooseRelease(const release_rule &Rule,
                             const std::optional<std::string> &Pinned,
                             double Draw);

/// Moves services to new releases by evidence: a trial with a small share, a
/// shift of all work once half of the time has passed without a bad sign, then
/// completion; or a return to the old release at the first significant sign.
/// Deterministic, so that all VMs come to the same phase. Not thread-safe.
class rollout_controller {
public:
  /// ExposureShare: part of a service's requests that an untrusted release may
  /// get in all.
  explicit rollout_controller(double ExposureShare)
      : ExposureShare(ExposureShare) {}

  void setExposureShare(double Share) { ExposureShare = Share; }
  /// Elapsed: how long ago the roll-out began, where that is known.
  void onOrder(const rollout_order &Order, milliseconds Elapsed,
               steady_time Now);
  void onOutcome(const service_id &Service, const std::string &Target,
                 rollout_outcome Outcome, std::uint64_t Revision);

  release_rule ruleFor(const service_id &Service, steady_time Now) const;
  /// Judges the evidence; once bad, a target stays so.
  void judge(const release_statistics &Statistics, steady_time Now);

  /// A change of the published outcome that is due.
  struct outcome_update {
    rollout_order Order;
    rollout_outcome Outcome = rollout_outcome::InProgress;
    /// Of the published outcome that it replaces; 0 if there is none.
    std::uint64_t PublishedRevision = 0;
    milliseconds Elapsed{0};
  };
  std::vector<outcome_update> outcomeUpdates(steady_time Now) const;

private:
  struct rollout {
    rollout_order Order;
    steady_time BeganAt;
    bool IsBad = false;
    std::optional<rollout_outcome> Published;
    std::uint64_t PublishedRevision = 0;
  };
  struct published_outcome {
    std::string Target;
    rollout_outcome Outcome = rollout_outcome::InProgress;
    std::uint64_t Revision = 0;
  };
  void applyPublishedOutcome(rollout &Rollout) const;
  double progress(const rollout &Rollout, steady_time Now) const;

  double ExposureShare;
  std::map<service_id, rollout> Rollouts;
  std::map<service_id, published_outcome> Published;
};

} // namespace azurehaven
