#include "LibRouting/retry_budget.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Credited to a budget for each request.
constexpr double RetriesPerRequest = 0.2;
constexpr double AccountBalanceLimit = 10;
constexpr double TotalBalanceLimit = 50;

} // namespace

void retry_budget::countRequest(const client_account_id &Account) {
  auto [It, IsNew] = BalanceByAccount.try_emplace(Account, AccountBalanceLimit);
  It->second = std::min(AccountBalanceLimit, It->second + RetriesPerRequest);
  TotalBalance = std::min(TotalBalanceLimit, TotalBalance + RetriesPerRequest);
}

bool retry_budget::tryTake(const client_account_id &Account) {
  auto [It, IsNew] = BalanceByAccount.try_emplace(Account, AccountBalanceLimit);
  if (It->second < 1 || TotalBalance < 1)
    return false;
  It->second -= 1;
  TotalBalance -= 1;
  return true;
}

} // namespace azurehaven
