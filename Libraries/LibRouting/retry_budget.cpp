#include "LibRouting/retry_budget.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Credited to a budget for each request.
constexpr double RetriesPerRequest = 0.2;
/// Credited as time passes, so that an account with few requests has some.
constexpr double AccountRetriesPerSecond = 1;
constexpr double TotalRetriesPerSecond = 5;
/// What a process starts with: the retries of one request.
constexpr double InitialCredit = 2;
constexpr double AccountBalanceLimit = 10;
constexpr double TotalBalanceLimit = 50;

} // namespace

void retry_budget::balance::refill(double PerSecond, double Limit,
                                   steady_time Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - RefilledAt).count();
  RefilledAt = std::max(RefilledAt, Now);
  add(PerSecond * std::max(Seconds, 0.0), Limit);
}

void retry_budget::balance::add(double Amount, double Limit) {
  Credit = std::min(Limit, Credit + Amount);
}

retry_budget::balance &retry_budget::refilledTotal(steady_time Now) {
  if (!Total)
    Total = balance{InitialCredit, Now};
  Total->refill(TotalRetriesPerSecond, TotalBalanceLimit, Now);
  return *Total;
}

retry_budget::balance &
retry_budget::refilledAccount(const client_account_id &Account,
                              steady_time Now) {
  auto [It, IsNew] = Accounts.try_emplace(Account, balance{InitialCredit, Now});
  It->second.refill(AccountRetriesPerSecond, AccountBalanceLimit, Now);
  return It->second;
}

void retry_budget::countRequest(const client_account_id &Account,
                                steady_time Now) {
  refilledAccount(Account, Now).add(RetriesPerRequest, AccountBalanceLimit);
  refilledTotal(Now).add(RetriesPerRequest, TotalBalanceLimit);
}

bool retry_budget::tryTake(const client_account_id &Account, steady_time Now) {
  balance &OfAccount = refilledAccount(Account, Now);
  balance &OfAll = refilledTotal(Now);
  if (OfAccount.Credit < 1 || OfAll.Credit < 1)
    return false;
  OfAccount.Credit -= 1;
  OfAll.Credit -= 1;
  return true;
}

} // namespace azurehaven
