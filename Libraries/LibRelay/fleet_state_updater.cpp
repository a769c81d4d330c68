#include "LibRelay/fleet_state_updater.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Owners renew entries whose leases expired during a store outage within two
/// seconds after it; an entry that is still missing then is removed.
constexpr milliseconds RenewalGrace{2000};

} // namespace

fleet_state_updater::fleet_state_updater(fleet_state &Fleet,
                                         const clock_source &Clock,
                                         const event_log &Log, metrics &Metrics)
    : Fleet(Fleet), Clock(Clock), Log(Log), Metrics(Metrics) {}

void fleet_state_updater::onConfiguration(route_table::content Content) {
  const std::uint64_t Version = Content.Version;
  const std::uint64_t Before = Fleet.Routes ? Fleet.Routes->version() : 0;
  // Versions only grow: an older configuration is a delayed update.
  if (Fleet.Routes && Version <= Before)
    return;
  Fleet.Routes = std::make_shared<const route_table>(std::move(Content));
  Metrics.increment("azurehaven_configurations_total");
  Log.write(log_level::Info, "configuration_applied",
            {{"version", std::to_string(Version)},
             {"before", std::to_string(Before)},
             {"routes", std::to_string(Fleet.Routes->routes().size())}});
}

void fleet_state_updater::onEndpoint(const endpoint_descriptor &Descriptor) {
  const auto Known = Fleet.Endpoints.find(Descriptor.Id);
  // Ignore a delayed entry of an earlier incarnation.
  if (Known && Known->Descriptor.Incarnation > Descriptor.Incarnation)
    return;
  const bool IsChanged =
      !Known || Known->Descriptor.IsLeaving != Descriptor.IsLeaving ||
      Known->Descriptor.Incarnation != Descriptor.Incarnation;
  Fleet.Endpoints.put(Descriptor);
  if (IsChanged)
    Log.write(log_level::Info, "endpoint_listed",
              {{"endpoint", Descriptor.Id.text()},
               {"service", Descriptor.Service.text()},
               {"address", Descriptor.Address.text()},
               {"release", Descriptor.Release},
               {"leaving", Descriptor.IsLeaving ? "yes" : "no"}});
}

void fleet_state_updater::onEndpointGone(const endpoint_id &Id,
                                         removal_cause Cause) {
  const auto Known = Fleet.Endpoints.find(Id);
  if (!Known)
    return;
  const bool MayReturn = Cause == removal_cause::MissingAfterOutage &&
                         !Known->Descriptor.IsLeaving;
  if (MayReturn)
    Fleet.Endpoints.scheduleRemoval(Id, renewalDeadline());
  else
    Fleet.Endpoints.remove(Id);
  Log.write(
      log_level::Info, "endpoint_unlisted",
      {{"endpoint", Id.text()}, {"may_return", MayReturn ? "yes" : "no"}});
}

void fleet_state_updater::onMember(const member_entry &Member) {
  Fleet.Members.put(Member);
  Log.write(log_level::Info, "member_listed", {{"member", Member.Vm.text()}});
}

void fleet_state_updater::onMemberGone(const vm_id &Vm, removal_cause Cause) {
  if (Cause == removal_cause::MissingAfterOutage)
    Fleet.Members.scheduleRemoval(Vm, renewalDeadline());
  else
    Fleet.Members.remove(Vm);
  Log.write(log_level::Info, "member_unlisted", {{"member", Vm.text()}});
}

milliseconds
fleet_state_updater::elapsedTimeOf(const rollout_order &Order) const {
  auto Known = RolloutRecords.find(Order.Service);
  if (Known == RolloutRecords.end() || Known->second.Target != Order.Target)
    return milliseconds(0);
  // The wall clocks of two VMs differ and may jump, so limit the difference.
  const auto Elapsed = Clock.wallNow() - Known->second.BeganAt;
  return std::clamp(milliseconds(Elapsed.count()), milliseconds(0),
                    2 * Order.TimeLimit);
}

void fleet_state_updater::onRolloutOrder(const rollout_order &Order) {
  const milliseconds Elapsed = elapsedTimeOf(Order);
  Fleet.Rollouts.onOrder(Order, Elapsed, Clock.now());
  Log.write(log_level::Info, "rollout_ordered",
            {{"service", Order.Service.text()},
             {"target", Order.Target},
             {"time_limit_ms", std::to_string(Order.TimeLimit.count())},
             {"elapsed_ms", std::to_string(Elapsed.count())}});
}

void fleet_state_updater::onRolloutOutcome(const service_id &Service,
                                           const std::string &Target,
                                           rollout_outcome Outcome,
                                           std::uint64_t Revision) {
  Fleet.Rollouts.onOutcome(Service, Target, Outcome, Revision);
  Log.write(log_level::Info, "rollout_published",
            {{"service", Service.text()},
             {"target", Target},
             {"outcome", nameOf(Outcome)}});
}

void fleet_state_updater::onRolloutRecord(const service_id &Service,
                                          const rollout_record &Record) {
  RolloutRecords[Service] = Record;
}

void fleet_state_updater::onConfirmed(steady_time At) {
  Fleet.Confirmation.confirm(At);
}

steady_time fleet_state_updater::renewalDeadline() const {
  return StoreRegainedAt + RenewalGrace;
}

void fleet_state_updater::onStoreReachable() {
  StoreRegainedAt = Clock.now();
  Log.write(log_level::Info, "store_regained", {});
}

void fleet_state_updater::onStoreUnreachable(const std::string &Reason) {
  Metrics.increment("azurehaven_store_lost_total");
  Log.write(log_level::Warning, "store_lost", {{"reason", Reason}});
}

void fleet_state_updater::onUnreadable(const std::string &Key,
                                       std::uint64_t Revision,
                                       const std::string &Reason) {
  Metrics.increment("azurehaven_unreadable_entries_total");
  Log.write(log_level::Warning, "entry_unreadable",
            {{"key", Key},
             {"revision", std::to_string(Revision)},
             {"reason", Reason}});
}

void fleet_state_updater::advance() {
  const steady_time Now = Clock.now();
  for (const auto &Id : Fleet.Endpoints.removeExpired(Now))
    Log.write(log_level::Info, "endpoint_gone", {{"endpoint", Id.text()}});
  Fleet.Members.removeExpired(Now);
  Fleet.Quarantine.expire(Now);
}

} // namespace azurehaven
