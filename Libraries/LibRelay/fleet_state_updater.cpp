#include "LibRelay/fleet_state_updater.h"

#include "LibRelay/endpoint_shares.h"

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

void fleet_state_updater::onConfiguration(route_table::content Content,
                                          store_revision Revision) {
  const std::uint64_t Version = Content.Version;
  const std::uint64_t Before = Fleet.Routes ? Fleet.Routes->version() : 0;
  if (Version >= Before && !Restoration.mayComeFromCopy(Revision))
    Restoration.onConfigurationWritten();
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

bool fleet_state_updater::isOutdatedCopy(const std::string &Id,
                                         std::int64_t Incarnation,
                                         store_revision Revision) const {
  const bool HasDeparted = DepartedEndpoints.contains(Id, Incarnation) ||
                           DepartedMembers.contains(Id, Incarnation);
  return HasDeparted && Restoration.mayComeFromCopy(Revision) &&
         !Restoration.isSettled(Clock.now());
}

void fleet_state_updater::onEndpoint(const endpoint_descriptor &Descriptor,
                                     store_revision Revision) {
  HeldEndpoints.erase(Descriptor.Id);
  if (!isOutdatedCopy(Descriptor.Id.text(), Descriptor.Incarnation, Revision))
    return applyEndpoint(Descriptor);
  HeldEndpoints[Descriptor.Id] = Descriptor;
  Log.write(log_level::Info, "endpoint_held",
            {{"endpoint", Descriptor.Id.text()},
             {"reason", "left before the store was restored"}});
}

void fleet_state_updater::applyEndpoint(const endpoint_descriptor &Descriptor) {
  const auto Known = Fleet.Endpoints.find(Descriptor.Id);
  // Ignore a delayed entry of an earlier incarnation.
  if (Known && Known->Descriptor.Incarnation > Descriptor.Incarnation)
    return;
  const bool IsChanged =
      !Known || Known->Descriptor.IsLeaving != Descriptor.IsLeaving ||
      Known->Descriptor.Incarnation != Descriptor.Incarnation;
  Fleet.Endpoints.put(Descriptor);
  updateBrittleQuotas(Fleet);
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
  HeldEndpoints.erase(Id);
  const auto Known = Fleet.Endpoints.find(Id);
  if (!Known)
    return;
  DepartedEndpoints.add(Id.text(), Known->Descriptor.Incarnation, Clock.now());
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

void fleet_state_updater::onMember(const member_entry &Member,
                                   store_revision Revision) {
  HeldMembers.erase(Member.Vm);
  if (!isOutdatedCopy(Member.Vm.text(),
                      static_cast<std::int64_t>(Member.Incarnation), Revision))
    return applyMember(Member);
  HeldMembers[Member.Vm] = Member;
  Log.write(log_level::Info, "member_held",
            {{"member", Member.Vm.text()},
             {"reason", "left before the store was restored"}});
}

void fleet_state_updater::applyMember(const member_entry &Member) {
  Fleet.Members.put(Member);
  Log.write(log_level::Info, "member_listed", {{"member", Member.Vm.text()}});
}

void fleet_state_updater::onMemberGone(const vm_id &Vm, removal_cause Cause) {
  HeldMembers.erase(Vm);
  if (const auto Known = Fleet.Members.find(Vm))
    DepartedMembers.add(
        Vm.text(), static_cast<std::int64_t>(Known->Incarnation), Clock.now());
  if (Cause == removal_cause::MissingAfterOutage)
    Fleet.Members.scheduleRemoval(Vm, renewalDeadline());
  else
    Fleet.Members.remove(Vm);
  Log.write(log_level::Info, "member_unlisted", {{"member", Vm.text()}});
}

const rollout_record *
fleet_state_updater::recordOf(const rollout_order &Order) const {
  const auto Known = RolloutRecords.find(Order.Service);
  // A record written before the order belongs to an earlier roll-out, which may
  // have had the same target.
  const bool IsOfOrder = Known != RolloutRecords.end() &&
                         Known->second.Record.Target == Order.Target &&
                         Known->second.Revision > Order.Revision;
  return IsOfOrder ? &Known->second.Record : nullptr;
}

std::optional<milliseconds>
fleet_state_updater::elapsedTimeOf(const rollout_order &Order) const {
  const rollout_record *Record = recordOf(Order);
  if (!Record)
    return std::nullopt;
  // The wall clocks of two VMs differ and may jump, so limit the difference.
  const auto Elapsed = Clock.wallNow() - Record->BeganAt;
  return std::clamp(milliseconds(Elapsed.count()), milliseconds(0),
                    2 * Order.TimeLimit);
}

order_origin fleet_state_updater::originOf(store_revision Revision) const {
  if (Restoration.mayComeFromCopy(Revision))
    return order_origin::MaybeCopied;
  return Restoration.isSettled(Clock.now()) ? order_origin::Written
                                            : order_origin::MaybeRepeated;
}

void fleet_state_updater::onRolloutOrder(const rollout_order &Order) {
  const auto Elapsed = elapsedTimeOf(Order);
  Fleet.Rollouts.onOrder(Order, originOf(Order.Revision), Elapsed, Clock.now());
  applyRecord(Order.Service);
  Log.write(log_level::Info, "rollout_ordered",
            {{"service", Order.Service.text()},
             {"target", Order.Target},
             {"time_limit_ms", std::to_string(Order.TimeLimit.count())},
             {"elapsed_ms", Elapsed ? std::to_string(Elapsed->count()) : "0"}});
}

void fleet_state_updater::onRolloutOutcome(const service_id &Service,
                                           const std::string &Target,
                                           rollout_outcome Outcome,
                                           store_revision Revision) {
  Fleet.Rollouts.onOutcome(Service, Target, Outcome, Revision);
  Log.write(log_level::Info, "rollout_published",
            {{"service", Service.text()},
             {"target", Target},
             {"outcome", nameOf(Outcome)}});
}

void fleet_state_updater::onRolloutRecord(const service_id &Service,
                                          const rollout_record &Record,
                                          store_revision Revision) {
  RolloutRecords[Service] = {Record, Revision};
  applyRecord(Service);
}

void fleet_state_updater::onArchivedCrashes(
    const std::vector<archived_crash> &Crashes) {
  const steady_time Now = Clock.now();
  std::size_t NewRequests = 0;
  std::vector<crash_record> Segments;
  for (const archived_crash &Crash : Crashes) {
    // The wall clocks of two VMs differ and may jump.
    const auto Age =
        std::max(Clock.wallNow() - Crash.At, unix_millis(0)).count();
    const crash_record Record{Crash.Fingerprint, Crash.Endpoint,
                              Now - milliseconds(Age), Crash.Refutation,
                              Crash.CoincidenceTime};
    if (Crash.Cause == crash_cause::PromptSegment)
      Segments.push_back(Record);
    else
      NewRequests += Fleet.Quarantine.merge(Record, Now);
  }
  const std::size_t NewSegments =
      Fleet.PromptQuarantine.mergeAll(Segments, Now);
  Log.write(log_level::Info, "crash_archive_read",
            {{"crashes", std::to_string(Crashes.size())},
             {"new_requests", std::to_string(NewRequests)},
             {"new_segments", std::to_string(NewSegments)}});
}

void fleet_state_updater::applyRecord(const service_id &Service) {
  const auto Known = RolloutRecords.find(Service);
  if (Known == RolloutRecords.end())
    return;
  const rollout_record &Record = Known->second.Record;
  Fleet.Rollouts.onRecordedShift(Service, Record.Target, Record.ShiftStart,
                                 Known->second.Revision, Clock.now());
}

void fleet_state_updater::onConfirmed(steady_time At) {
  // A copy may lack a revocation that the operators have not repeated yet.
  if (!Restoration.isConfigurationCurrent(At))
    return;
  Fleet.Confirmation.confirm(At);
  if (Fleet.Routes)
    Fleet.PassedConfirmations.onConfirmed(Fleet.Routes->version(), At);
}

void fleet_state_updater::onStoreFirstRead() {
  Restoration.onFirstRead(Clock.now());
}

void fleet_state_updater::onStoreRestored(store_revision CopyEnd) {
  const steady_time Now = Clock.now();
  StoreRegainedAt = Now;
  Restoration.onRestored(CopyEnd, Now);
  Fleet.Rollouts.onStoreRestored();
  Log.write(log_level::Warning, "store_copy_read",
            {{"copy_end", std::to_string(CopyEnd.Number)}});
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
                                       store_revision Revision,
                                       const std::string &Reason) {
  Metrics.increment("azurehaven_unreadable_entries_total");
  Log.write(log_level::Warning, "entry_unreadable",
            {{"key", Key},
             {"revision", std::to_string(Revision.Number)},
             {"reason", Reason}});
}

void fleet_state_updater::advance() {
  const steady_time Now = Clock.now();
  for (const auto &Id : Fleet.Endpoints.removeExpired(Now))
    Log.write(log_level::Info, "endpoint_gone", {{"endpoint", Id.text()}});
  Fleet.Members.removeExpired(Now);
  Fleet.Quarantine.expire(Now);
  Fleet.PromptQuarantine.expire(Now);
  DepartedEndpoints.expire(Now);
  DepartedMembers.expire(Now);
  if (Restoration.isSettled(Now))
    applyHeldEntries();
}

void fleet_state_updater::applyHeldEntries() {
  for (const auto &[Id, Descriptor] : std::exchange(HeldEndpoints, {}))
    applyEndpoint(Descriptor);
  for (const auto &[Vm, Member] : std::exchange(HeldMembers, {}))
    applyMember(Member);
}

} // namespace azurehaven
