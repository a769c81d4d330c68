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

/// Requests that were running on endpoints which broke down, by a fingerprint
/// that the caller's resend shares. Not thread-safe.
class crash_quarantine {
public:
  struct crash_record {
    std::uint64_t Fingerprint = 0;
    /// With its incarnation: each start counts by itself.
    endpoint_id Endpoint;
  };

  /// A breakdown that this VM has seen; it is news for the others.
  void addLocal(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
                steady_time Now);
  /// One that another VM has seen.
  void addRemote(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
                 steady_time Now);
  /// The request was answered whole: what broke down before had other causes.
  void clear(std::uint64_t Fingerprint) { ByFingerprint.erase(Fingerprint); }
  std::vector<crash_record> takeUnsent() { return std::exchange(Unsent, {}); }
  /// Whether the request has taken down so many endpoints that it is refused.
  bool isQuarantined(std::uint64_t Fingerprint) const;
  void expire(steady_time Now);

private:
  struct crash_history {
    std::set<endpoint_id> Endpoints;
    steady_time LastCrashAt;
  };
  std::map<std::uint64_t, crash_history> ByFingerprint;
  std::vector<crash_record> Unsent;
};

/// Path, account and body: what a resend has in common with its first send.
std::uint64_t requestFingerprint(const std::string &Path,
                                 const client_account_id &Account,
                                 const std::string &Body);

} // namespace azurehaven
