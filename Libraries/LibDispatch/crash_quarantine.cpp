#include "LibDispatch/crash_quarantine.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// Distinct endpoints that must have crashed. A crash ends all requests that
/// run on the endpoint, so that one or two may be coincidence; a third one
/// without a successful response in between is not.
constexpr std::size_t QuarantineThreshold = 3;
/// Time after the last crash for which a request's history is kept.
constexpr std::chrono::minutes RetentionTime{10};

} // namespace

void crash_quarantine::addLocal(std::uint64_t Fingerprint,
                                const endpoint_id &Endpoint, steady_time Now) {
  merge(Fingerprint, Endpoint, Now);
  Unsent.push_back({Fingerprint, Endpoint});
}

void crash_quarantine::merge(std::uint64_t Fingerprint,
                             const endpoint_id &Endpoint, steady_time Now) {
  auto &History = ByFingerprint[Fingerprint];
  History.LastCrashAt = Now;
  History.Endpoints.insert(Endpoint);
}

void crash_quarantine::withdrawUnsent() {
  for (const crash_record &Record : takeUnsent()) {
    auto Found = ByFingerprint.find(Record.Fingerprint);
    if (Found != ByFingerprint.end())
      Found->second.Endpoints.erase(Record.Endpoint);
  }
}

bool crash_quarantine::isQuarantined(std::uint64_t Fingerprint) const {
  auto Found = ByFingerprint.find(Fingerprint);
  return Found != ByFingerprint.end() &&
         Found->second.Endpoints.size() >= QuarantineThreshold;
}

void crash_quarantine::expire(steady_time Now) {
  std::erase_if(ByFingerprint, [&](const auto &Entry) {
    return Now - Entry.second.LastCrashAt > RetentionTime;
  });
}

std::uint64_t requestFingerprint(const std::string &Path,
                                 const client_account_id &Account,
                                 const std::string &Body) {
  return fingerprintOf(Body,
                       fingerprintOf(Path, fingerprintOf(Account.text())));
}

} // namespace azurehaven
