#pragma once

#include "LibRollout/rollout.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// The roll-outs of all services: takes orders and outcomes from the store and
/// says what has to be written there. Not thread-safe.
class rollout_controller {
public:
  explicit rollout_controller(const exposure_limits &Exposure)
      : Exposure(Exposure) {}

  void setExposureLimits(const exposure_limits &Limits) { Exposure = Limits; }
  /// Elapsed: time since the roll-out began as told by its record in the store;
  /// nullopt if it begins now.
  void onOrder(const rollout_order &Order, order_origin Origin,
               std::optional<milliseconds> Elapsed, steady_time Now);
  void onOutcome(const service_id &Service, const std::string &Target,
                 rollout_outcome Outcome, store_revision Revision);
  /// A record in the store has this postponed start of the shift. Revision: the
  /// record's; one from before the order has no effect.
  void onRecordedShift(const service_id &Service, const std::string &Target,
                       milliseconds ShiftStart, store_revision Revision,
                       steady_time Now);
  /// Forgets what is published: the store was restored from an older copy. The
  /// decisions stay, and are published again where the copy lacks them.
  void onStoreRestored();

  /// Whether a roll-out has no final outcome yet and its target is not
  /// rejected.
  bool isAnyUndecided() const;
  bool isUndecided(const service_id &Service) const;
  release_rule ruleFor(const service_id &Service, steady_time Now) const {
    return ruleFor(Service, {}, Now);
  }
  /// The rule for requests of this route.
  release_rule ruleFor(const service_id &Service, const std::string &Route,
                       steady_time Now) const;
  /// Evaluates the targets of open roll-outs.
  void judge(const release_statistics &Statistics,
             const rollout_surroundings &Surroundings, steady_time Now);

  /// What the other VMs have to know, by service.
  std::map<service_id, rollout_state> states(steady_time Now) const;
  void join(const service_id &Service, const rollout_state &State,
            steady_time Now);
  /// Whether this VM has found out something since the last call that the
  /// others should know at once.
  bool takeNews();

  /// A roll-out as this VM sees it, for logs.
  struct rollout_summary {
    service_id Service;
    release_rule Rule;
    milliseconds Elapsed{0};
    milliseconds ShiftStart{0};
    rollout_judgement Judgement;
    bool IsShiftPostponed = false;
  };
  std::vector<rollout_summary> summaries(steady_time Now) const;

  /// A change of the published outcome that has to be written to the store.
  struct outcome_update {
    rollout_order Order;
    rollout_outcome Outcome = rollout_outcome::InProgress;
    /// Revision of the published outcome that it replaces; absent if there is
    /// none.
    store_revision PublishedRevision;
    milliseconds Elapsed{0};
    /// The postponed start of the shift; zero if it was not postponed.
    milliseconds ShiftStart{0};
    rollout_judgement Judgement;
  };
  std::vector<outcome_update> outcomeUpdates(steady_time Now) const;

private:
  /// A roll-out and what the store holds of it.
  struct tracked_rollout {
    rollout Rollout;
    std::optional<rollout_outcome> PublishedOutcome;
    /// Revision of the service's latest published outcome, which may belong to
    /// an earlier roll-out.
    store_revision PublishedRevision;
    milliseconds RecordedShiftStart{0};
    /// When another VM told that the outcome is in the store; this VM will
    /// read it there as well.
    std::optional<steady_time> OutcomeToldAt;
  };
  struct published_outcome {
    std::string Target;
    rollout_outcome Outcome = rollout_outcome::InProgress;
    store_revision Revision;
  };
  /// Whether a restored store repeats the order of a known roll-out, or an
  /// earlier one.
  static bool isRepeated(const rollout &Rollout, const rollout_order &Order,
                         order_origin Origin);
  void applyPublishedOutcome(tracked_rollout &Tracked);
  /// Remembers that the release was rolled back.
  void withdraw(const service_id &Service, const std::string &Release);
  /// The release is ordered anew, or has been completed.
  void reinstate(const service_id &Service, const std::string &Release);
  bool needsUpdate(const tracked_rollout &Tracked, rollout_outcome Wanted,
                   steady_time Now) const;

  exposure_limits Exposure;
  std::map<service_id, tracked_rollout> Rollouts;
  std::map<service_id, published_outcome> LatestOutcomes;
  /// Releases that were rolled back, the latest last.
  std::map<service_id, std::vector<std::string>> Withdrawn;
  bool HasNews = false;
};

} // namespace azurehaven
