#pragma once

#include "LibFleet/store_mirror.h"
#include "LibLog/event_log.h"
#include "LibMetrics/metrics.h"
#include "LibRelay/fleet_state.h"
#include "LibRelay/rollout_driver.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// Applies changes read from the store to this VM's fleet state. Called on the
/// event loop.
class fleet_state_updater {
public:
  fleet_state_updater(fleet_state &Fleet, const clock_source &Clock,
                      const event_log &Log, metrics &Metrics);

  void onConfiguration(route_table::content Content);
  void onEndpoint(const endpoint_descriptor &Descriptor);
  void onEndpointGone(const endpoint_id &Id, removal_cause Cause);
  void onMember(const member_entry &Member);
  void onRolloutOrder(const rollout_order &Order);
  void onRolloutOutcome(const service_id &Service, const std::string &Target,
                        rollout_outcome Outcome, std::uint64_t Revision);
  void onRolloutRecord(const service_id &Service, const rollout_record &Record);
  void onMemberGone(const vm_id &Vm, removal_cause Cause);
  void onConfirmed(steady_time At);
  void onStoreReachable();
  void onStoreUnreachable(const std::string &Reason);
  /// Reports an entry that can't be decoded; its previous value stays in force.
  void onUnreadable(const std::string &Key, std::uint64_t Revision,
                    const std::string &Reason);
  /// Removes endpoints and members whose removal time has passed, and expired
  /// crash histories.
  void advance();

private:
  milliseconds elapsedTimeOf(const rollout_order &Order) const;
  /// Until when entries whose leases expired during an outage may be renewed.
  steady_time renewalDeadline() const;

  std::map<service_id, rollout_record> RolloutRecords;
  /// When the store last became reachable.
  steady_time StoreRegainedAt;
  fleet_state &Fleet;
  const clock_source &Clock;
  const event_log &Log;
  metrics &Metrics;
};

} // namespace azurehaven
