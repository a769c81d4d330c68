#pragma once

#include "LibRouting/version_chooser.h"
#include "LibTypes/ranked_mutex.h"

#include <deque>
#include <map>
#include <memory>

namespace azurehaven {

/// The routing decisions for one request.
struct decision_record {
  request_id Request;
  client_account_id Account;
  class_id Class;
  std::uint64_t ConfigVersion = 0;
  unix_millis At;
  std::vector<candidate_note> Candidates;
  /// Attempts, retries, refusals and the bill, in order.
  std::vector<std::string> Steps;
  std::string Outcome;
};

/// The most recent decisions of this VM, for `ctl explain`.
/// Thread-safe (lock_rank::Records).
class decision_log {
public:
  void add(decision_record Record);
  std::vector<decision_record> find(const request_id &Request) const;

private:
  mutable ranked_mutex Mutex{lock_rank::Records};
  std::deque<decision_record> Records;
};

} // namespace azurehaven
