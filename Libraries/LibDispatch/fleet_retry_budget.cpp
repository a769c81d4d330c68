#include "LibDispatch/fleet_retry_budget.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Part of the ratio that each request earns.
constexpr double EarnedFraction = 0.7;
/// The rest of it: the credit that may be kept, as a part of what the ratio
/// allows for the requests of the window. What is kept as a window begins and
/// what is earned within it together stay within the ratio.
constexpr double KeptFraction = 1 - EarnedFraction;
/// Part of a VM's share of the slack that is earned within a window, and that
/// may be kept. The rest of the slack covers VMs that know too few members.
constexpr double SlackFraction = 0.1;
/// A VM may be missing from the list of members and still make retries: while
/// it finishes its requests before it exits, or is cut off from the store.
constexpr milliseconds VmCountPeriod{60000};

void expire(std::deque<steady_time> &Times, milliseconds Window,
            steady_time Now) {
  while (!Times.empty() && Now - Times.front() > Window)
    Times.pop_front();
}

double secondsBetween(steady_time From, steady_time To) {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

fleet_retry_budget::fleet_retry_budget(retry_budget_limits Limits)
    : Limits(Limits), VmCount(VmCountPeriod) {}

void fleet_retry_budget::observeVmCount(std::size_t Count, steady_time Now) {
  if (!EarnsSlackSince)
    EarnsSlackSince = Now;
  VmCount.observe(Count, Now);
}

double fleet_retry_budget::slackShare() const {
  const std::size_t Count = VmCount.value();
  return Count == 0 ? 0
                    : SlackFraction * Limits.Slack / static_cast<double>(Count);
}

double fleet_retry_budget::earnedPerRequest() const {
  return EarnedFraction * Limits.Ratio;
}

double fleet_retry_budget::capacityOf(const account &Account) const {
  const double Kept = KeptFraction * Limits.Ratio *
                      static_cast<double>(Account.Requests.size());
  return std::max(Kept + slackShare(), earnedPerRequest());
}

fleet_retry_budget::account &
fleet_retry_budget::refilledAccount(const service_id &Service,
                                    steady_time Now) {
  account &Account = Accounts[Service];
  expire(Account.Requests, Limits.Window, Now);
  expire(Account.Retries, Limits.Window, Now);
  if (EarnsSlackSince) {
    const steady_time Since = std::max(
        Account.RefilledAt.value_or(*EarnsSlackSince), *EarnsSlackSince);
    const double Windows = secondsBetween(Since, Now) /
                           std::chrono::duration<double>(Limits.Window).count();
    Account.Credit += slackShare() * std::max(Windows, 0.0);
  }
  Account.RefilledAt = Now;
  Account.Credit = std::min(Account.Credit, capacityOf(Account));
  return Account;
}

void fleet_retry_budget::recordRequest(const service_id &Service,
                                       steady_time Now) {
  account &Account = refilledAccount(Service, Now);
  Account.Requests.push_back(Now);
  Account.Credit =
      std::min(Account.Credit + earnedPerRequest(), capacityOf(Account));
}

bool fleet_retry_budget::allowsRetry(const service_id &Service,
                                     steady_time Now) {
  // A part of a retry is enough, so that VMs with few requests can make any.
  // The rest is owed, and lost only if the process ends.
  return refilledAccount(Service, Now).Credit > 0;
}

bool fleet_retry_budget::tryConsume(const service_id &Service,
                                    steady_time Now) {
  if (!allowsRetry(Service, Now))
    return false;
  account &Account = Accounts[Service];
  Account.Credit -= 1;
  Account.Retries.push_back(Now);
  return true;
}

retry_budget_state fleet_retry_budget::stateOf(const service_id &Service,
                                               steady_time Now) {
  const account &Account = refilledAccount(Service, Now);
  return {Account.Requests.size(), Account.Retries.size(), Account.Credit};
}

} // namespace azurehaven
