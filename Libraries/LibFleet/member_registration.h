#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibFleet/member_entry.h"
#include "LibLog/event_log.h"
#include "LibStore/async_store.h"

#include <functional>

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

private:
  void acquireLease();
  void publishEntry(store_lease Granted);
  void scheduleRenewal();
  void renewLease();
  void scheduleRetry(const error &Error);

  async_store &Store;
  event_scheduler &Scheduler;
  const event_log &Log;
  const member_entry Self;
  store_lease Lease = NoLease;
  bool Leaving = false;
};

} // namespace azurehaven
