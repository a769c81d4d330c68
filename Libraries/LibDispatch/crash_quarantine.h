#pragma once

#include "LibDispatch/crash_records.h"
#include "LibDispatch/crash_sequence.h"

#include <string>

namespace azurehaven {

/// Counts endpoint crashes by the requests that were running on them, and
/// quarantines a request after several. Requests are identified by a
/// fingerprint that stays the same when the caller resends them. Not
/// thread-safe.
class crash_quarantine {
public:
  /// Records a crash that this VM observed.
  void addLocal(std::uint64_t Fingerprint, const endpoint_id &Endpoint,
                crash_time Crash) {
    Records.add({Fingerprint, Endpoint, Crash.At, crash_refutation::None,
                 Crash.CoincidenceTime},
                Crash.At);
  }
  /// Records what another VM knows. Returns whether it is news.
  bool merge(const crash_record &Record, steady_time Now) {
    return Records.merge(Record, Now);
  }
  /// Clears the history of a request that got a complete response: the earlier
  /// crashes had other causes.
  void clear(std::uint64_t Fingerprint) {
    Records.refuteFingerprint(Fingerprint);
  }
  /// Records that a process start is alive after its alleged crash. Returns
  /// whether that is news.
  bool refuteEndpoint(const endpoint_id &Endpoint) {
    return Records.refuteEndpoint(Endpoint);
  }
  /// What changed by observations of this VM since the last call.
  std::vector<crash_record> takeNews() { return Records.takeNews(); }
  const crash_records &records() const { return Records; }
  /// Whether the request is refused because too many endpoints crashed on it.
  bool isQuarantined(std::uint64_t Fingerprint) const;
  /// Drops crashes that are long past.
  void expire(steady_time Now) { Records.expire(Now); }

private:
  crash_records Records;
};

/// Hashes path, account and body, which are equal in a caller's resend.
std::uint64_t requestFingerprint(const std::string &Path,
                                 const client_account_id &Account,
                                 const std::string &Body);

} // namespace azurehaven
