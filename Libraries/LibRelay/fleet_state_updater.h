#pragma once

#include "LibFleet/departed_entries.h"
#include "LibFleet/store_mirror.h"
#include "LibFleet/store_restoration.h"
#include "LibLog/event_log.h"
#include "LibMetrics/metrics.h"
#include "LibRelay/archived_crash.h"
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

  void onConfiguration(route_table::content Content, store_revision Revision);
  void onEndpoint(const endpoint_descriptor &Descriptor,
                  store_revision Revision);
  void onEndpointGone(const endpoint_id &Id, removal_cause Cause);
  void onMember(const member_entry &Member, store_revision Revision);
  void onRolloutOrder(const rollout_order &Order);
  void onRolloutOutcome(const service_id &Service, const std::string &Target,
                        rollout_outcome Outcome, store_revision Revision);
  void onRolloutRecord(const service_id &Service, const rollout_record &Record,
                       store_revision Revision);
  /// Takes in what the store keeps of crashes.
  void onArchivedCrashes(const std::vector<archived_crash> &Crashes);
  void onMemberGone(const vm_id &Vm, removal_cause Cause);
  void onConfirmed(steady_time At);
  void onStoreReachable();
  /// This process has read the store for the first time. Until it is certain
  /// that the store was not restored just before, only other VMs confirm the
  /// configuration.
  void onStoreFirstRead();
  /// The store tells that it was not restored just before the first read.
  void onEraSettled() { Restoration.onEraSettled(); }
  /// Whether all writers have had time to repeat their writes.
  bool isStoreSettled(steady_time Now) const {
    return Restoration.isConfigurationCurrent(Now) &&
           Restoration.isSettled(Now);
  }
  /// The store was restored from an older copy; items up to CopyEnd may come
  /// from it. Configuration, withdrawn releases and departures that are newer
  /// than the copy stay in force.
  void onStoreRestored(store_revision CopyEnd);
  void onStoreUnreachable(const std::string &Reason);
  /// Reports an entry that can't be decoded; its previous value stays in force.
  void onUnreadable(const std::string &Key, store_revision Revision,
                    const std::string &Reason);
  /// Removes endpoints and members whose removal time has passed, and expired
  /// crash histories.
  void advance();

private:
  /// Whether the entry comes from a copy that is older than the removal of this
  /// process start.
  bool isOutdatedCopy(const std::string &Id, std::int64_t Incarnation,
                      store_revision Revision) const;
  order_origin originOf(store_revision Revision) const;
  void applyEndpoint(const endpoint_descriptor &Descriptor);
  void applyMember(const member_entry &Member);
  /// Applies the entries that were held back and that nobody has removed since.
  void applyHeldEntries();

  struct stored_record {
    rollout_record Record;
    store_revision Revision;
  };
  /// The record of this order's roll-out; null if there is none.
  const rollout_record *recordOf(const rollout_order &Order) const;
  void applyRecord(const service_id &Service);
  /// Time since the roll-out began as told by its record; nullopt without one.
  std::optional<milliseconds> elapsedTimeOf(const rollout_order &Order) const;
  /// Until when entries whose leases expired during an outage may be renewed.
  steady_time renewalDeadline() const;

  std::map<service_id, stored_record> RolloutRecords;
  store_restoration Restoration;
  departed_entries DepartedEndpoints;
  departed_entries DepartedMembers;
  /// Entries of the copy whose process had left before the restoration.
  std::map<endpoint_id, endpoint_descriptor> HeldEndpoints;
  std::map<vm_id, member_entry> HeldMembers;
  /// When the store last became reachable or was restored.
  steady_time StoreRegainedAt;
  fleet_state &Fleet;
  const clock_source &Clock;
  const event_log &Log;
  metrics &Metrics;
};

} // namespace azurehaven
