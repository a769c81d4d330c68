#pragma once

#include "LibTypes/ids.h"

#include <map>

namespace azurehaven {

/// Bounds retries to a share of the requests, for each account and in all, so
/// that a failing pool is not buried under repetitions. Not thread-safe.
class retry_budget {
public:
  void countRequest(const client_account_id &Account);
  /// Takes one retry from the budgets; false when one of them is used up.
  bool tryTake(const client_account_id &Account);

private:
  double Total = 10;
  std::map<client_account_id, double> ByAccount;
};

} // namespace azurehaven
