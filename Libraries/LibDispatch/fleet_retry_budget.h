#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <deque>
#include <map>

namespace azurehaven {

struct retry_budget_limits {
  /// Repeated sends allowed for each request, over the window.
  double Ratio = 0.2;
  milliseconds Window{10000};
  /// Repeated sends allowed beside, for all VMs together.
  double Slack = 10;
};

/// This VM's part of the fleet's bound on repeated sends to one service. The
/// bound is kept without a counter between VMs: each takes the ratio of its
/// own requests and an equal part of the slack. Not thread-safe.
class fleet_retry_budget {
public:
  explicit fleet_retry_budget(retry_budget_limits Limits) : Limits(Limits) {}

  void setLimits(const retry_budget_limits &NewLimits) { Limits = NewLimits; }
  void recordRequest(const service_id &Service, steady_time Now);
  /// Takes one repeated send; false when this VM's part is used up.
  bool tryConsume(const service_id &Service, std::size_t VmCount,
                  steady_time Now);

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
