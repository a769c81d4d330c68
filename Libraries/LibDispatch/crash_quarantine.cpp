#include "LibDispatch/crash_quarantine.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Distinct endpoints that must have crashed. A crash ends all requests that
/// run on the endpoint, so that one or two may be coincidence; a third one
/// without a successful response in between is not.
constexpr std::size_t QuarantineThreshold = 3;
/// The same for a request that was sound after crashes under it.
constexpr std::size_t SoundRequestThreshold = 5;

} // namespace

bool crash_quarantine::isQuarantined(std::uint64_t Fingerprint) const {
  std::vector<crash_record> Standing = Records.standingOf(Fingerprint);
  if (Standing.size() < QuarantineThreshold)
    return false;
  const std::size_t Threshold = Records.hasSoundResponse(Fingerprint)
                                    ? SoundRequestThreshold
                                    : QuarantineThreshold;
  // While endpoints are silent, sound requests are sent to them as well.
  std::erase_if(Standing, [this](const crash_record &Record) {
    return Records.hadCrashedBefore(Record);
  });
  return countIndependentCrashes(Standing) >= Threshold;
}

std::uint64_t requestFingerprint(const std::string &Path,
                                 const client_account_id &Account,
                                 const std::string &Body) {
  return fingerprintOf(Body,
                       fingerprintOf(Path, fingerprintOf(Account.text())));
}

} // namespace azurehaven
