#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibStore/async_store.h"

#include <map>
#include <optional>
#include <string>

namespace azurehaven {

enum class removal_cause {
  /// The key was removed while the store was reachable.
  Removed,
  /// The removal was noticed shortly after an outage of the store: the lease
  /// may have expired while the key's owner could not renew it.
  MissingAfterOutage,
};

/// How a VM learns that it has the latest configuration.
enum class confirmation_source {
  /// It asks the store often.
  Store,
  /// Other VMs pass on what the store confirmed to them. The VM still watches
  /// the store for changes, with long waits.
  Peers,
};

/// Receives the contents of the store and their changes. Called on the event
/// loop.
class store_mirror_listener {
public:
  virtual ~store_mirror_listener() = default;
  virtual void onItem(const store_item &Item) = 0;
  virtual void onRemoved(const std::string &Key, removal_cause Cause) = 0;
  /// All changes up to this time have been reported.
  virtual void onConfirmed(steady_time At) = 0;
  /// The store was read for the first time, at a time at which it may have been
  /// restored just before. Called before its items are reported.
  virtual void onFirstRead() = 0;
  /// The store was restored from an older copy. Items up to this revision may
  /// come from the copy; later ones were written since. Called before the items
  /// of the copy are reported.
  virtual void onRestored(store_revision CopyEnd) = 0;
  virtual void onReachable() = 0;
  virtual void onUnreachable(const std::string &Reason) = 0;
};

/// Mirrors a key range with one watch, and reads the whole range again after
/// the watch fails or the store is restored. Used from one event loop.
class store_mirror {
public:
  store_mirror(async_store &Store, event_scheduler &Scheduler,
               store_mirror_listener &Listener, key_range Keys);

  void start();
  void stop() { Stopped = true; }
  void setConfirmationSource(confirmation_source NewSource) {
    Source = NewSource;
  }
  /// Must be called several times per second with the time at which the
  /// configuration was last confirmed, by the store or by another VM. Asks the
  /// store if that is long ago.
  void onConfirmationAge(steady_time ConfirmedAt);
  /// Reads the whole range at once and drops the pending watch, after another
  /// call has shown that the store was restored from an older copy.
  void onStoreRestored();
  bool isReachable() const { return Reachable; }

private:
  void readSnapshot();
  void beginEra(store_revision CopyEnd);
  void applySnapshot(range_result Range, steady_time SentAt);
  void watch();
  void applyChanges(const store_changes &StoreChanges, steady_time SentAt,
                    milliseconds Wait);
  void applyItem(const store_item &Item);
  void applyRemoval(const std::string &Key, store_revision RemovalRevision,
                    removal_cause Cause);
  void confirm(steady_time At);
  void retryAfterFailure(const std::string &Reason);
  removal_cause removalCauseAt(steady_time Now) const;
  milliseconds nextWatchWait(steady_time Now) const;
  bool reliesOnPeers(steady_time Now) const;

  async_store &Store;
  event_scheduler &Scheduler;
  store_mirror_listener &Listener;
  const key_range Keys;
  /// Revision of the last reported write of each existing key.
  std::map<std::string, store_revision> KnownRevisions;
  /// Revision of the store up to which all changes have been reported.
  store_revision Revision;
  /// Number of the call whose response is awaited; responses to earlier calls
  /// are ignored.
  std::uint64_t CallNumber = 0;
  /// Time up to which all changes have been reported.
  steady_time ConfirmedAt;
  /// When the store became reachable again after an outage or a restoration.
  std::optional<steady_time> ReconnectedAt;
  unsigned ConsecutiveFailures = 0;
  confirmation_source Source = confirmation_source::Store;
  /// Until when the other VMs' confirmations are not relied on, since they
  /// stopped.
  steady_time DistrustsPeersUntil;
  /// Whether the pending watch waits longer than confirmations may age.
  bool IsWatchLong = false;
  bool Reachable = false;
  bool HasBeenReachable = false;
  bool Stopped = false;
};

} // namespace azurehaven
