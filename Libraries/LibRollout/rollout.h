#pragma once

#include "LibRollout/evidence_coverage.h"
#include "LibRollout/evidence_windows.h"
#include "LibRollout/exposure_budget.h"
#include "LibRollout/release_findings.h"
#include "LibRollout/release_rule.h"
#include "LibRollout/release_verdict.h"
#include "LibRollout/rollout_agreement.h"
#include "LibRollout/rollout_order.h"
#include "LibRollout/rollout_schedule.h"

#include <map>
#include <optional>
#include <set>

namespace azurehaven {

/// The fleet as one VM sees it.
struct rollout_surroundings {
  /// Services whose endpoints cache no prompts.
  std::set<service_id> PlainServices{};
  /// Attempts of all VMs that run now.
  std::map<service_id, std::uint32_t> InFlight{};
  evidence_coverage Coverage{};
};

/// What the verdict on a release rests on.
struct rollout_judgement {
  release_verdict Verdict = release_verdict::Sound;
  /// Without requests if the service's endpoints are engines, or if this VM
  /// lacks most of the outcomes; the verdict comes from the counts then.
  release_findings Findings;
  evidence_coverage Coverage;
};

/// One roll-out of a service: a trial with a small share of the sessions, a
/// shift of all requests shortly before the time limit, then completion. Its
/// times and its agreement are the fleet's; this VM adds its own findings to
/// the agreement and takes over those of the others. Not thread-safe.
class rollout {
public:
  /// Elapsed: time since the roll-out began.
  rollout(const rollout_order &Order, const exposure_limits &Exposure,
          milliseconds Elapsed, start_source Source, steady_time Now);

  const rollout_order &order() const { return Order; }
  /// The restored store has repeated the order under another revision.
  void renewOrder(store_revision Revision) { Order.Revision = Revision; }
  const rollout_agreement &agreement() const { return Agreement; }
  const rollout_judgement &judgement() const { return Judgement; }
  milliseconds elapsed(steady_time Now) const;
  rollout_schedule schedule() const;
  bool isShiftPostponed() const;
  /// Whether there is neither a final outcome nor a rejection yet.
  bool isUndecided() const {
    return !Agreement.Outcome && !Agreement.IsRejected;
  }
  rollout_phase phase(steady_time Now) const;
  release_rule rule(const std::string &Route, steady_time Now) const;
  rollout_outcome wantedOutcome(steady_time Now) const;

  /// Evaluates the target. It is rejected if it is found to be worse, or is
  /// not found to be sound in time by a VM that knows most of the evidence. The
  /// shift is postponed while the target is suspect, or while all requests
  /// would exceed its exposure; a VM without most of the evidence does not take
  /// part in it.
  void judge(const release_statistics &Statistics,
             const rollout_surroundings &Surroundings,
             const exposure_limits &Exposure, steady_time Now);
  void setOutcome(rollout_outcome Outcome);
  rollout_state state(steady_time Now) const;
  /// Takes over what another VM knows.
  void join(const rollout_state &Other, steady_time Now);
  void join(const rollout_agreement &Other, steady_time Now);

private:
  /// The counts from which on this VM accounts for the exposure.
  struct exposure_reference {
    service_totals Totals;
    steady_time At;
  };

  rollout_schedule unpostponedSchedule() const;
  /// Whether this VM knows the counts of the others: it has seen the order, or
  /// runs for long enough.
  bool mayDecide() const { return HasSeenOrder || Reference; }
  void joinStart(const rollout_state &Other, steady_time Now);
  void observe(const service_totals &Totals, const release_evidence &Evidence,
               steady_time Now);
  release_verdict verdictFrom(const release_counts &Counted,
                              release_verdict CountVerdict) const;
  bool isLate(steady_time Now) const;
  bool mustReject(steady_time Now) const;
  std::optional<exposure_budget> budget(const service_totals &Totals,
                                        const exposure_limits &Exposure,
                                        std::uint32_t InFlight,
                                        steady_time Now) const;
  void raiseShares(const exposure_budget &Budget,
                   const exposure_limits &Exposure,
                   const service_totals &Totals, steady_time Now);
  void raiseTrialShare(const exposure_budget &Budget,
                       const exposure_limits &Exposure, steady_time Now);
  double gradualTrialShare(const exposure_budget &Budget,
                           const exposure_limits &Exposure) const;
  double immediateTrialShare(const exposure_budget &Budget,
                             const exposure_limits &Exposure,
                             steady_time Now) const;
  void raiseRouteShares(const service_totals &Totals);
  void postponeShift(const std::optional<exposure_budget> &Budget,
                     steady_time Now);
  void reject(steady_time Now);

  rollout_order Order;
  steady_time BeganAt;
  start_source Source;
  /// Whether this VM has read the order as it was written.
  const bool HasSeenOrder;
  steady_time JoinedAt;
  shift_kind Shift = shift_kind::Gradual;
  rollout_agreement Agreement;
  /// When this VM learned of the rejection.
  std::optional<steady_time> RejectedAt;
  rollout_judgement Judgement;
  evidence_windows Windows;
  /// The service's totals when the roll-out was first evaluated.
  std::optional<service_totals> TotalsBefore;
  std::optional<exposure_reference> Reference;
};

} // namespace azurehaven
