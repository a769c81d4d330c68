#pragma once

#include "LibTypes/ids.h"

#include <map>

namespace azurehaven {

/// Limits retries to a share of the requests, per account and in total, so that
/// retries do not overload failing endpoints. Not thread-safe.
class retry_budget {
public:
  /// Credits the total budget and the account's for one request.
  void countRequest(const client_account_id &Account);
  /// Takes one retry from both of these budgets; returns false if either is
  /// exhausted.
  bool tryTake(const client_account_id &Account);

private:
  double TotalBalance = 10;
  std::map<client_account_id, double> BalanceByAccount;
};

} // namespace azurehaven
