#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace azurehaven {

/// Requests that were running on endpoints which broke down, by a fingerprint
/// that the caller's resend shares. Not thread-safe.
class crash_quarantine {
public:
  /// Returns whether the breakdown was not known yet.
  bool add(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
           steady_time Now);
  /// Whether the request has taken down so many endpoints that it is refused.
  bool isRefused(std::uint64_t Fingerprint) const;
  void expire(steady_time Now);

private:
  struct breakdowns {
    std::set<endpoint_id> Endpoints;
    steady_time Last;
  };
  std::map<std::uint64_t, breakdowns> ByFingerprint;
};

/// Path, account and body: what a resend has in common with its first send.
std::uint64_t resendFingerprint(const std::string &Path,
                                const client_account_id &Account,
                                const std::string &Body);

} // namespace azurehaven
