#pragma once

#include "LibRelay/bill_journal.h"
#include "Soak/caller_record.h"
#include "Soak/fault_log.h"
#include "Soak/run_registry.h"

namespace azurehaven::platform {

/// Something that happened at one time, to an endpoint or an account.
struct timed_event {
  std::string Target;
  steady_time At;
};

/// Everything that was seen in one soak, from outside the processes.
struct soak_history {
  std::vector<caller_record> Records;
  std::map<request_id, std::vector<endpoint_run>> Runs;
  std::vector<fault_interval> FaultIntervals;
  /// Times at which the store had taken a key away, and given it back.
  std::vector<timed_event> Revocations;
  std::vector<timed_event> Restorations;
  /// Times at which the store had an endpoint's word that it leaves.
  std::vector<timed_event> DrainStarts;
  std::map<std::string, bill> Ledger;
};

/// The promises that were broken, one line each.
std::vector<std::string> findBrokenPromises(const soak_history &History);

} // namespace azurehaven::platform
