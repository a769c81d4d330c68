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

/// Receives the contents of the store and their changes. Called on the event
/// loop.
class store_mirror_listener {
public:
  virtual ~store_mirror_listener() = default;
  virtual void onItem(const store_item &Item) = 0;
  virtual void onRemoved(const std::string &Key, removal_cause Cause) = 0;
  /// All changes up to this time have been reported.
  virtual void onConfirmed(steady_time At) = 0;
  virtual void onReachable() = 0;
  virtual void onUnreachable(const std::string &Reason) = 0;
};

/// Mirrors a key range with one watch, and reads the whole range again after
/// the watch fails. Used from one event loop.
class store_mirror {
public:
  store_mirror(async_store &Store, event_scheduler &Scheduler,
               store_mirror_listener &Listener, key_range Keys);

  void start();
  void stop() { Stopped = true; }
  bool isReachable() const { return Reachable; }

private:
  void readSnapshot();
  void applySnapshot(range_result Range, steady_time SentAt);
  void watch();
  void applyChanges(const store_changes &StoreChanges, steady_time SentAt,
                    milliseconds Wait);
  void applyItem(const store_item &Item);
  void applyRemoval(const std::string &Key, std::uint64_t RemovalRevision,
                    removal_cause Cause);
  void confirm(steady_time At);
  void retryAfterFailure(const std::string &Reason);
  removal_cause removalCauseAt(steady_time Now) const;
  milliseconds nextWatchWait(steady_time Now) const;

  async_store &Store;
  event_scheduler &Scheduler;
  store_mirror_listener &Listener;
  const key_range Keys;
  /// Revision of the last reported write of each existing key.
  std::map<std::string, std::uint64_t> KnownRevisions;
  /// Revision of the store up to which all changes have been reported.
  std::uint64_t Revision = 0;
  /// Time up to which all changes have been reported.
  steady_time ConfirmedAt;
  /// When the store became reachable again after an outage.
  std::optional<steady_time> ReconnectedAt;
  unsigned ConsecutiveFailures = 0;
  bool Reachable = false;
  bool HasBeenReachable = false;
  bool Stopped = false;
};

} // namespace azurehaven
