#include "LibDispatch/crash_quarantine.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

namespace {

/// An endpoint takes down all requests that it runs; the third time without an
/// answer in between is no coincidence.
constexpr std::size_t QuarantineThreshold = 3;
/// How long a breakdown is remembered after the last one.
constexpr std::chrono::minutes RetentionTime{10};

} // namespace

void crash_quarantine::addLocal(std::uint64_t Fingerprint,
                                const endpoint_id &Endpoint, steady_time Now) {
  addRemote(Fingerprint, Endpoint, Now);
  Unsent.push_back({Fingerprint, Endpoint});
}

void crash_quarantine::addRemote(std::uint64_t Fingerprint,
                                 const endpoint_id &Endpoint, steady_time Now) {
  auto &History = ByFingerprint[Fingerprint];
  History.LastCrashAt = Now;
  History.Endpoints.insert(Endpoint);
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
