#include "LibFleet/store_mirror.h"

#include "LibDispatch/configuration_confirmation.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Longest wait of one watch. A watch that returns without changes confirms the
/// configuration, so that the wait has to stay well below the time within which
/// a revoked key must be refused.
constexpr milliseconds MaximumWatchWait{1500};
constexpr milliseconds MinimumWatchWait{100};
/// Longest wait of one watch while other VMs pass on confirmations. The store
/// client has to notice a silenced connection sooner by itself.
constexpr milliseconds LongWatchWait{6000};
/// Age of the passed confirmations from which on the VM asks the store itself,
/// and for how long. Changes that reach all VMs at once delay the confirmations
/// of all, for a moment only.
constexpr milliseconds MaximumPassedAge{2200};
constexpr std::chrono::seconds PeerDistrust{2};
/// Age that a confirmation should not exceed while the store is reachable.
constexpr milliseconds TargetConfirmationAge{1800};
/// Delay of the next watch after changes, so that it returns further changes
/// together: each call has a cost, and every write would end the watch of every
/// VM. A configuration may take seconds to come into force.
constexpr milliseconds CoalescingDelay{400};
/// Delays between attempts while the store is unreachable: each call has a
/// cost.
constexpr milliseconds InitialRetryDelay{150};
constexpr milliseconds MaximumRetryDelay{500};
/// Time after the end of a store outage in which the owners renew leases that
/// expired during it.
constexpr milliseconds LeaseRenewalGrace{2000};

} // namespace

store_mirror::store_mirror(async_store &Store, event_scheduler &Scheduler,
                           store_mirror_listener &Listener, key_range Keys)
    : Store(Store), Scheduler(Scheduler), Listener(Listener),
      Keys(std::move(Keys)) {}

void store_mirror::start() { readSnapshot(); }

void store_mirror::readSnapshot() {
  if (Stopped)
    return;
  const steady_time SentAt = Scheduler.now();
  const std::uint64_t Number = ++CallNumber;
  IsWatchLong = false;
  Store.readRange(Keys, [=, this](result<range_result> Result) {
    if (Number != CallNumber)
      return;
    if (isError(Result))
      return retryAfterFailure(errorOf(Result).Message);
    applySnapshot(std::move(valueOf(Result)), SentAt);
  });
}

void store_mirror::onStoreRestored() { readSnapshot(); }

void store_mirror::beginEra(store_revision CopyEnd) {
  // Leases in the copy may have expired while their owners still renewed them,
  // so the owners need the same time as after an outage to write again.
  ReconnectedAt = Scheduler.now();
  Listener.onRestored(CopyEnd);
}

void store_mirror::applySnapshot(range_result Range, steady_time SentAt) {
  ConsecutiveFailures = 0;
  if (!Reachable) {
    Reachable = true;
    if (HasBeenReachable)
      ReconnectedAt = Scheduler.now();
    Listener.onReachable();
  }
  if (!HasBeenReachable)
    Listener.onFirstRead();
  else if (Range.Revision.Era != Revision.Era)
    beginEra(Range.Revision);
  const removal_cause Cause = removalCauseAt(Scheduler.now());
  HasBeenReachable = true;
  std::map<std::string, store_revision> Missing = KnownRevisions;
  for (const auto &Item : Range.Items) {
    Missing.erase(Item.Key);
    applyItem(Item);
  }
  for (const auto &[Key, LastRevision] : Missing)
    applyRemoval(Key, Range.Revision, Cause);
  Revision = Range.Revision;
  confirm(SentAt);
  watch();
}

bool store_mirror::reliesOnPeers(steady_time Now) const {
  return Source == confirmation_source::Peers && Now >= DistrustsPeersUntil;
}

void store_mirror::onConfirmationAge(steady_time At) {
  const steady_time Now = Scheduler.now();
  ConfirmedAt = std::max(ConfirmedAt, At);
  if (!IsWatchLong || Now - ConfirmedAt <= MaximumPassedAge)
    return;
  DistrustsPeersUntil = Now + PeerDistrust;
  watch();
}

milliseconds store_mirror::nextWatchWait(steady_time Now) const {
  if (reliesOnPeers(Now))
    return LongWatchWait;
  const auto Age = std::chrono::duration_cast<milliseconds>(Now - ConfirmedAt);
  return std::clamp(TargetConfirmationAge - Age, MinimumWatchWait,
                    MaximumWatchWait);
}

void store_mirror::watch() {
  if (Stopped)
    return;
  const steady_time SentAt = Scheduler.now();
  const milliseconds Wait = nextWatchWait(SentAt);
  IsWatchLong = Wait > MaximumWatchWait;
  const std::uint64_t Number = ++CallNumber;
  Store.watch(Keys.Prefix, Revision, Wait, [=, this](watch_outcome Outcome) {
    if (Number != CallNumber)
      return;
    IsWatchLong = false;
    if (const auto *StoreChanges = std::get_if<store_changes>(&Outcome))
      return applyChanges(*StoreChanges, SentAt, Wait);
    if (std::holds_alternative<history_compacted>(Outcome))
      return readSnapshot();
    retryAfterFailure(std::get<error>(Outcome).Message);
  });
}

void store_mirror::applyChanges(const store_changes &StoreChanges,
                                steady_time SentAt, milliseconds Wait) {
  const steady_time Now = Scheduler.now();
  for (const auto &Change : StoreChanges.Changes) {
    if (!Keys.contains(Change.Key))
      continue;
    if (Change.Item)
      applyItem(*Change.Item);
    else
      applyRemoval(Change.Key, Change.Revision, removalCauseAt(Now));
  }
  Revision = std::max(Revision, StoreChanges.Revision);
  if (StoreChanges.Changes.empty()) {
    confirm(confirmationTimeOfIdleWatch(SentAt, Wait, Now));
    return watch();
  }
  confirm(SentAt);
  Scheduler.runAfter(CoalescingDelay, [this, Number = CallNumber] {
    if (Number == CallNumber)
      watch();
  });
}

void store_mirror::applyItem(const store_item &Item) {
  store_revision &KnownRevision = KnownRevisions[Item.Key];
  if (Item.Revision <= KnownRevision)
    return;
  KnownRevision = Item.Revision;
  Listener.onItem(Item);
}

void store_mirror::applyRemoval(const std::string &Key,
                                store_revision RemovalRevision,
                                removal_cause Cause) {
  auto Found = KnownRevisions.find(Key);
  if (Found == KnownRevisions.end() || Found->second > RemovalRevision)
    return;
  KnownRevisions.erase(Found);
  Listener.onRemoved(Key, Cause);
}

void store_mirror::confirm(steady_time At) {
  ConfirmedAt = std::max(ConfirmedAt, At);
  Listener.onConfirmed(At);
}

removal_cause store_mirror::removalCauseAt(steady_time Now) const {
  const bool IsLeaseRenewalPending =
      ReconnectedAt && Now - *ReconnectedAt < LeaseRenewalGrace;
  return IsLeaseRenewalPending ? removal_cause::MissingAfterOutage
                               : removal_cause::Removed;
}

void store_mirror::retryAfterFailure(const std::string &Reason) {
  if (Stopped)
    return;
  ++ConsecutiveFailures;
  if (Reachable) {
    Reachable = false;
    Listener.onUnreachable(Reason);
  }
  Scheduler.runAfter(
      std::min(InitialRetryDelay * ConsecutiveFailures, MaximumRetryDelay),
      [this, Number = CallNumber] {
        if (Number == CallNumber)
          readSnapshot();
      });
}

} // namespace azurehaven
