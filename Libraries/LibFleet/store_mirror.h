#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibStore/async_store.h"

#include <map>
#include <optional>
#include <string>

namespace azurehaven {

enum class removal_cause {
  /// The store told that the key was removed.
  Removed,
  /// The key was missing when the store could be read again: its lease may
  /// have lapsed while its owner could not renew it.
  MissingAfterOutage,
};

/// Told what the store holds. Called on the event loop.
class store_mirror_listener {
public:
  virtual ~store_mirror_listener() = default;
  virtual void onItem(const store_item &Item) = 0;
  virtual void onRemoved(const std::string &Key, removal_cause Cause) = 0;
  /// Everything that the store held at this time has been told.
  virtual void onConfirmed(steady_time At) = 0;
  virtual void onReachable() = 0;
  virtual void onUnreachable(const std::string &Reason) = 0;
};

/// Follows a range of keys by one watch, and reads them again when the watch
/// breaks. Lives on one event loop.
class store_mirror {
public:
  store_mirror(async_store &Store, event_scheduler &Scheduler,
               store_mirror_listener &Listener, key_range Keys);

  void start();
  void stop() { Stopped = true; }
  bool isReachable() const { return Reachable; }

private:
  void load();
  void takeRange(range_result Range, steady_time SentAt);
  void watch();
  void takeNews(const store_changes &News, steady_time SentAt,
                milliseconds Wait);
  void applyItem(const store_item &Item);
  void applyRemoval(const std::string &Key, std::uint64_t At,
                    removal_cause Cause);
  void confirm(steady_time At);
  void retryAfterFailure(const std::string &Reason);
  removal_cause causeAt(steady_time Now) const;
  milliseconds nextWait(steady_time Now) const;

  async_store &Store;
  event_scheduler &Scheduler;
  store_mirror_listener &Listener;
  const key_range Keys;
  /// Revision of the last write told for each key that exists.
  std::map<std::string, std::uint64_t> Known;
  std::uint64_t Revision = 0;
  steady_time ConfirmedAt;
  /// When the store came back after it had been away.
  std::optional<steady_time> RegainedAt;
  unsigned FailuresInRow = 0;
  bool Reachable = false;
  bool WasReachable = false;
  bool Stopped = false;
};

} // namespace azurehaven
