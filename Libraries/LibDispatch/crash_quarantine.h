#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace azurehaven {

/// Counts endpoint crashes by the requests that were running on them, and
/// quarantines a request after several. Requests are identified by a
/// fingerprint that stays the same when the caller resends them. Not
/// thread-safe.
class crash_quarantine {
public:
  struct crash_record {
    std::uint64_t Fingerprint = 0;
    /// Includes the incarnation: each process start counts separately.
    endpoint_id Endpoint;
  };

  /// Records a crash that this VM observed, and queues it for the other VMs.
  void addLocal(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
                steady_time Now);
  /// Records a crash that another VM observed.
  void merge(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
             steady_time Now);
  /// Clears the history of a request that got a complete response: the earlier
  /// crashes had other causes.
  void clear(std::uint64_t Fingerprint) { ByFingerprint.erase(Fingerprint); }
  /// Returns the local crashes that are not yet sent to the other VMs, and
  /// clears the queue.
  std::vector<crash_record> takeUnsent() { return std::exchange(Unsent, {}); }
  /// Forgets the local crashes that the other VMs have not been told of yet:
  /// they had another cause.
  void withdrawUnsent();
  /// Whether the request is refused because too many endpoints crashed on it.
  bool isQuarantined(std::uint64_t Fingerprint) const;
  /// Drops histories without a recent crash.
  void expire(steady_time Now);

private:
  struct crash_history {
    std::set<endpoint_id> Endpoints;
    steady_time LastCrashAt;
  };
  std::map<std::uint64_t, crash_history> ByFingerprint;
  std::vector<crash_record> Unsent;
};

/// Hashes path, account and body, which are equal in a caller's resend.
std::uint64_t requestFingerprint(const std::string &Path,
                                 const client_account_id &Account,
                                 const std::string &Body);

} // namespace azurehaven
