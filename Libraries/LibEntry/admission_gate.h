#pragma once

#include "LibRouting/router.h"

#include <condition_variable>

namespace azurehaven {

/// Blocks the threads of queued requests until the router admits or sheds them.
/// Thread-safe.
class admission_gate {
public:
  explicit admission_gate(router &Router) : Router(Router) {}

  /// Blocks until the request is admitted or shed.
  std::variant<admission_ticket, shed>
  waitForAdmission(const version_id &Version, const admission_request &Request,
                   steady_time Now);
  /// Frees the slot of an admitted request, which it held for ServiceTime.
  void release(const version_id &Version, admission_ticket Ticket,
               milliseconds ServiceTime, steady_time Now);
  /// Admits queued requests that can start now and sheds those that can no
  /// longer start in time. To be called periodically.
  void advance(steady_time Now);

private:
  using queue_key = std::pair<version_id, admission_ticket>;
  using admission_outcome = std::optional<std::variant<admission_ticket, shed>>;

  /// Stores the outcomes and wakes the waiting threads. Requires Mutex held.
  void publishProgress(const version_id &Version,
                       const admission_progress &Progress);

  router &Router;
  std::mutex Mutex;
  std::condition_variable Changed;
  /// Outcome of each queued request; nullopt until the router has decided.
  std::map<queue_key, admission_outcome> Outcomes;
};

} // namespace azurehaven
