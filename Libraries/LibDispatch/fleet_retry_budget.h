#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <deque>
#include <map>

namespace azurehaven {

struct retry_budget_limits {
  /// Retries allowed per request within the window.
  double Ratio = 0.2;
  milliseconds Window{10000};
  /// Further retries allowed within the window, for all VMs together.
  double Slack = 10;
};

/// What a decision on a retry rests on.
struct retry_budget_state {
  /// Requests and retries of this process within the window.
  std::size_t Requests = 0;
  std::size_t Retries = 0;
};

/// This VM's share of the fleet-wide retry budget of each service. The VMs need
/// no common counter: each allows the ratio of its own requests plus an equal
/// share of the slack. Not thread-safe.
class fleet_retry_budget {
public:
  explicit fleet_retry_budget(retry_budget_limits Limits) : Limits(Limits) {}

  void setLimits(const retry_budget_limits &NewLimits) { Limits = NewLimits; }
  void recordRequest(const service_id &Service, steady_time Now);
  /// Consumes one retry; returns false if this VM's share is exhausted.
  bool tryConsume(const service_id &Service, std::size_t VmCount,
                  steady_time Now);
  retry_budget_state stateOf(const service_id &Service, steady_time Now);

private:
  struct service_window {
    std::deque<steady_time> Requests;
    std::deque<steady_time> Retries;
  };
  void expire(service_window &Window, steady_time Now) const;

  retry_budget_limits Limits;
  std::map<service_id, service_window> Windows;
};

} // namespace azurehaven
