#pragma once

#include "LibDispatch/recent_maximum.h"
#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <deque>
#include <map>
#include <optional>

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
  /// Retries that may be made now; less than 0 after one on credit.
  double Credit = 0;
};

/// This VM's share of the fleet-wide retry budget of each service. The VMs need
/// no common counter: a retry uses credit that this process's own requests have
/// earned, and a process starts without any, so that the sum over all VMs holds
/// in every window, however often processes start. A process may owe a part of
/// a retry, for which the slack has to have one for each VM. Not thread-safe.
class fleet_retry_budget {
public:
  explicit fleet_retry_budget(retry_budget_limits Limits);

  void setLimits(const retry_budget_limits &NewLimits) { Limits = NewLimits; }
  /// Takes the number of VMs that share the slack, to be called several times a
  /// second. Credit for the slack is earned from the first call on.
  void observeVmCount(std::size_t Count, steady_time Now);
  void recordRequest(const service_id &Service, steady_time Now);
  bool allowsRetry(const service_id &Service, steady_time Now);
  /// Consumes one retry; returns false if this VM's share is exhausted.
  bool tryConsume(const service_id &Service, steady_time Now);
  retry_budget_state stateOf(const service_id &Service, steady_time Now);

private:
  struct account {
    std::deque<steady_time> Requests;
    std::deque<steady_time> Retries;
    double Credit = 0;
    std::optional<steady_time> RefilledAt;
  };
  account &refilledAccount(const service_id &Service, steady_time Now);
  double slackShare() const;
  double earnedPerRequest() const;
  double capacityOf(const account &Account) const;

  retry_budget_limits Limits;
  recent_maximum VmCount;
  std::optional<steady_time> EarnsSlackSince;
  std::map<service_id, account> Accounts;
};

} // namespace azurehaven
