#pragma once

#include "LibRouting/router.h"

#include <condition_variable>

namespace azurehaven {

/// Lets the threads of queued requests wait for the router's word.
class admission_gate {
public:
  explicit admission_gate(router &Router) : Router(Router) {}

  /// Blocks until the request is admitted or given up.
  std::variant<admission_ticket, shed> enter(const version_id &Version,
                                             const admission_request &Request,
                                             steady_time Now);
  void leave(const version_id &Version, admission_ticket Ticket,
             milliseconds Service, steady_time Now);
  /// Gives up what can no longer start in time; to be called regularly.
  void advance(steady_time Now);

private:
  using waiting_key = std::pair<version_id, admission_ticket>;
  using verdict = std::optional<std::variant<admission_ticket, shed>>;

  void announce(const version_id &Version, const admission_progress &Progress);

  router &Router;
  std::mutex Mutex;
  std::condition_variable Changed;
  /// Verdicts of queued requests; empty while undecided.
  std::map<waiting_key, verdict> Verdicts;
};

} // namespace azurehaven
