#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <map>
#include <optional>

namespace azurehaven {

/// Limits retries to a share of the requests, per account and in total, so that
/// retries do not overload failing endpoints. A process starts with the credit
/// of one request, so that starts in series add little. Not thread-safe.
class retry_budget {
public:
  /// Credits the total budget and the account's for one request.
  void countRequest(const client_account_id &Account, steady_time Now);
  /// Takes one retry from both of these budgets; returns false if either is
  /// exhausted.
  bool tryTake(const client_account_id &Account, steady_time Now);

private:
  struct balance {
    double Credit = 0;
    steady_time RefilledAt;
    void refill(double PerSecond, double Limit, steady_time Now);
    void add(double Amount, double Limit);
  };
  balance &refilledAccount(const client_account_id &Account, steady_time Now);
  balance &refilledTotal(steady_time Now);

  std::optional<balance> Total;
  std::map<client_account_id, balance> Accounts;
};

} // namespace azurehaven
