#include "LibDispatch/crash_quarantine.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Distinct endpoints that must have crashed. A crash ends all requests that
/// run on the endpoint, so that one or two may be coincidence; a third one
/// without a successful response in between is not.
constexpr std::size_t QuarantineThreshold = 3;

} // namespace

bool crash_quarantine::isQuarantined(std::uint64_t Fingerprint) const {
  return Records.endpointCount(Fingerprint) >= QuarantineThreshold;
}

std::uint64_t requestFingerprint(const std::string &Path,
                                 const client_account_id &Account,
                                 const std::string &Body) {
  return fingerprintOf(Body,
                       fingerprintOf(Path, fingerprintOf(Account.text())));
}

} // namespace azurehaven
