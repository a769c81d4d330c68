#pragma once

#include "LibDispatch/exposure_budget.h"
#include "LibDispatch/release_rule.h"
#include "LibDispatch/release_verdict.h"
#include "LibDispatch/rollout_schedule.h"
#include "LibTypes/store_revision.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurehaven {

enum class rollout_outcome { InProgress, Completed, RolledBack };

/// The outcome's name in logs.
const char *nameOf(rollout_outcome Outcome);

/// An operator's order to move a service's traffic to a new release.
struct rollout_order {
  service_id Service;
  std::string Target;
  milliseconds TimeLimit{0};
  store_revision Revision;
};

/// Where an order was read from.
enum class order_origin {
  /// The operator has written it.
  Written,
  /// The operator may have written it again, just after the store was restored
  /// from an older copy.
  MaybeRepeated,
  /// It may come from the copy from which the store was restored.
  MaybeCopied,
};

/// The fleet as one VM sees it.
struct rollout_surroundings {
  std::size_t VmCount = 1;
  /// Services whose endpoints cache no prompts.
  std::set<service_id> PlainServices{};
  /// This VM's attempts that run now.
  std::map<service_id, std::uint32_t> InFlight{};
};

/// Rolls out new releases: a trial with a small share of the requests, a
/// gradual shift of all requests shortly before the time limit, then
/// completion. What a target gets until then stays within the limits of its
/// exposure, whatever is known of it: faults may show under a later load only.
/// Rejects the target as soon as it is significantly worse than the old
/// release; sessions leave it when the roll-back is published. Not thread-safe.
class rollout_controller {
public:
  explicit rollout_controller(const exposure_limits &Exposure)
      : Exposure(Exposure) {}

  void setExposureLimits(const exposure_limits &Limits) { Exposure = Limits; }
  /// Elapsed: time since the roll-out began, 0 if unknown.
  void onOrder(const rollout_order &Order, order_origin Origin,
               milliseconds Elapsed, steady_time Now);
  void onOutcome(const service_id &Service, const std::string &Target,
                 rollout_outcome Outcome, store_revision Revision);
  /// Forgets what is published: the store was restored from an older copy. The
  /// decisions stay, and are published again where the copy lacks them.
  void onStoreRestored();

  /// Whether a roll-out has no final outcome yet and its target is not
  /// rejected.
  bool isAnyUndecided() const;
  release_rule ruleFor(const service_id &Service, steady_time Now) const;
  /// A roll-out as this VM sees it, for logs.
  struct rollout_summary {
    service_id Service;
    release_rule Rule;
    milliseconds Elapsed{0};
    release_verdict Verdict = release_verdict::Sound;
    bool IsShiftHeld = false;
  };
  std::vector<rollout_summary> summaries(steady_time Now) const;
  /// Factor of the trial's share for a route. Above 1 while the target has got
  /// less than its share of the route's requests, below 1 while it has got
  /// more.
  double routeFactor(const service_id &Service, const std::string &Route) const;
  /// Evaluates the targets of open roll-outs. A target is rejected if it is
  /// found to be worse, or is not found to be sound in time; it remains so.
  void judge(const release_statistics &Statistics,
             const rollout_surroundings &Surroundings, steady_time Now);

  /// A change of the published outcome that has to be written to the store.
  struct outcome_update {
    rollout_order Order;
    rollout_outcome Outcome = rollout_outcome::InProgress;
    /// Revision of the published outcome that it replaces; absent if there is
    /// none.
    store_revision PublishedRevision;
    milliseconds Elapsed{0};
    release_verdict Verdict = release_verdict::Sound;
  };
  std::vector<outcome_update> outcomeUpdates(steady_time Now) const;

private:
  struct rollout {
    rollout_order Order;
    steady_time BeganAt;
    shift_kind Shift = shift_kind::Gradual;
    /// The service's totals when the roll-out was first evaluated.
    std::optional<service_totals> TotalsBefore;
    release_verdict Verdict = release_verdict::Sound;
    /// When this VM found the target to be worse, or not sound in time.
    std::optional<steady_time> RejectedAt;
    steady_time ObservedSince;
    exposure_counts AttemptsBefore;
    /// Share of the trial; unset until the rate of requests is known.
    std::optional<double> TrialShare;
    std::map<std::string, double> RouteFactors;
    /// Whether the shift has to wait, and whether it has begun.
    bool IsShiftHeld = false;
    bool HasShifted = false;
    /// The final outcome, once a VM has published it. It outlasts a
    /// restoration of the store.
    std::optional<rollout_outcome> FinalOutcome;
    /// The outcome that the store holds for this roll-out.
    std::optional<rollout_outcome> PublishedOutcome;
    /// Revision of the service's latest published outcome, which may belong to
    /// an earlier roll-out.
    store_revision PublishedRevision;
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
  void applyPublishedOutcome(rollout &Rollout) const;
  rollout_phase phaseOf(const rollout &Rollout, steady_time Now) const;
  static milliseconds elapsed(const rollout &Rollout, steady_time Now);
  static rollout_schedule scheduleOf(const rollout &Rollout) {
    return scheduleFor(Rollout.Order.TimeLimit, Rollout.Shift);
  }
  void observe(rollout &Rollout, const release_statistics &Statistics,
               steady_time Now) const;
  /// Sets the share of the trial and whether the shift has to wait.
  void limitExposure(rollout &Rollout, const release_statistics &Statistics,
                     const rollout_surroundings &Surroundings,
                     steady_time Now) const;
  double trialShare(const rollout &Rollout) const;
  void balanceRoutes(rollout &Rollout, const service_totals &Totals) const;

  exposure_limits Exposure;
  std::map<service_id, rollout> Rollouts;
  std::map<service_id, published_outcome> LatestOutcomes;
};

} // namespace azurehaven
