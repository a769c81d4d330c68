#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibFleet/member_entry.h"
#include "LibLog/event_log.h"
#include "LibStore/async_store.h"

#include <functional>
#include <optional>

namespace azurehaven {

/// Keeps this process's entry in the store under a lease, and ends the lease at
/// a planned stop. Used from one event loop.
class member_registration {
public:
  member_registration(async_store &Store, event_scheduler &Scheduler,
                      const event_log &Log, member_entry Self);

  void start();
  /// Ends the lease, which removes the entry at once.
  void leave();
  /// Tells whether the store lists the entry, as far as this VM knows; to be
  /// called several times a second. Publishes the entry again if it stays away
  /// although its lease is renewed.
  void checkListed(bool IsListed);

private:
  void acquireLease();
  store_transaction publication(store_lease Under) const;
  void publishEntry(store_lease Granted);
  void restoreEntry();
  void scheduleRenewal();
  void renewLease();
  void scheduleRetry(const error &Error);

  async_store &Store;
  event_scheduler &Scheduler;
  const event_log &Log;
  const member_entry Self;
  store_lease Lease = NoLease;
  bool Leaving = false;
  /// Since when the entry has not been listed under the lease.
  std::optional<steady_time> MissingSince;
};

} // namespace azurehaven
