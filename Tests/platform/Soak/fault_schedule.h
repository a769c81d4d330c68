#pragma once

#include "Soak/promise_check.h"
#include "Soak/soak_cluster.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace azurehaven::platform {

/// Injects faults drawn from a seed into a soak cluster; they may overlap.
/// Prints each with its time.
class fault_schedule {
public:
  fault_schedule(soak_cluster &Cluster, std::uint64_t Seed);

  /// Draws this many faults, skips those whose target has one already, and
  /// waits until all have ended.
  status play(std::size_t Faults);
  /// Stops and restarts the entry processes one at a time, without other
  /// faults.
  status restartOneByOne();
  /// Ends every entry process with a planned stop (SIGTERM).
  status stopAll();

  /// Adds the times of key revocations, key restorations and drain starts.
  void recordEvents(soak_history &History) const;

private:
  /// Ends one fault; called when its duration is over.
  using fault_end = std::function<status()>;
  using fault_start = result<fault_end> (fault_schedule::*)();

  result<fault_end> killEntry();
  /// Kills and starts an entry process several times in a row.
  result<fault_end> restartInSeries();
  result<fault_end> pauseEntry();
  result<fault_end> stopEntry();
  result<fault_end> reloadEntry();
  result<fault_end> takeStoreDown();
  result<fault_end> dropStoreResponses();
  result<fault_end> switchStore(std::atomic<bool> &Switch,
                                const std::string &Text);
  /// Copies the store, restores it, or does neither.
  status copyOrRestoreStore();
  /// Restores the store from the copy of an earlier moment, then repeats what
  /// operators and endpoints have written since.
  status restoreStore();
  result<fault_end> injectStoreLinkFault();
  result<fault_end> injectEndpointLinkFault();
  result<fault_end> injectLinkFault(const std::string &Target, fault_kind Kind,
                                    const std::string &LoggedTarget,
                                    const std::string &Place,
                                    fault_proxy &Link);
  result<fault_end> degradeEndpoint();
  result<fault_end> failService();
  /// An endpoint writes responses a second time, late, and may refuse some.
  result<fault_end> repeatResponses();
  result<fault_end> crashEndpoint();
  result<fault_end> drainEndpoint();
  result<fault_end> revokeKey();

  /// Starts a fault unless Target has one already, and logs its interval with
  /// LoggedTarget, the entry process or endpoint affected (empty for all).
  /// Returns the function that ends it.
  result<fault_end> injectFault(const std::string &Target, fault_kind Kind,
                                const std::string &LoggedTarget,
                                const std::string &Text, const fault_end &Begin,
                                fault_end End);
  status endExpiredFaults(steady_time Now);
  status awaitStop(std::size_t Entry);
  std::size_t randomEntry() { return Random() % EntryCount; }
  link_fault randomLinkFault() {
    return static_cast<link_fault>(1 + Random() % 4);
  }
  std::size_t randomEndpoint() { return Random() % EndpointCount; }

  soak_cluster &Cluster;
  std::mt19937_64 Random;
  /// Separate, so that the other faults of a seed stay as they were before
  /// restorations were added.
  std::mt19937_64 RestorationRandom;
  std::multimap<steady_time, fault_end> PendingEnds;
  /// Targets of active faults; a target has at most one at a time.
  std::set<std::string> ActiveTargets;
  std::vector<timed_event> Revocations;
  std::vector<timed_event> Restorations;
  std::vector<timed_event> DrainStarts;
};

} // namespace azurehaven::platform
