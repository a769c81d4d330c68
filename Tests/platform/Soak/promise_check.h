#pragma once

#include "LibRelay/bill_journal.h"
#include "Soak/caller_record.h"
#include "Soak/fault_log.h"
#include "Soak/idle_limit_history.h"
#include "Soak/run_registry.h"

namespace azurehaven::platform {

/// An event at an endpoint or a client account.
struct timed_event {
  std::string Target;
  steady_time At;
};

/// Everything observed in one soak run from outside the entry processes.
struct soak_history {
  std::vector<caller_record> Records;
  std::map<request_id, std::vector<endpoint_run>> Runs;
  std::vector<endpoint_arrival> Arrivals;
  std::vector<fault_interval> FaultIntervals;
  /// Of endpoints; they excuse no missing answer.
  std::vector<fault_interval> Standstills;
  std::vector<written_limit> IdleLimits;
  /// Times right after a configuration without the key was written to the
  /// store.
  std::vector<timed_event> Revocations;
  /// Times right before the configuration with the key was written again.
  std::vector<timed_event> Restorations;
  /// Times right after the draining state of an endpoint was written to the
  /// store. The targets are instance ids.
  std::vector<timed_event> DrainStarts;
  std::map<std::string, bill> Ledger;
  /// Whether each VM runs an earlier build until its first planned stop ends.
  bool HasPreviousBuild = false;
};

/// Returns one line for each violation of a promise.
std::vector<std::string> findBrokenPromises(const soak_history &History);

/// One line for each request that ended without a whole response though nothing
/// excuses that. Standstills, stalls, faults of the store and changes of the
/// configuration are no excuse.
std::vector<std::string> findMissingAnswers(const soak_history &History);

} // namespace azurehaven::platform
