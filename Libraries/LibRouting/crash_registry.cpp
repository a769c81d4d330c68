#include "LibRouting/crash_registry.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr std::size_t NewNoticesPerFrame = 16;
constexpr std::size_t RepeatedNoticesPerFrame = 1;
constexpr std::size_t SendsPerNotice = 8;
constexpr std::size_t MaximumFingerprints = 10000;
constexpr std::size_t CrashedEndpointsToRefuse = 2;

} // namespace

crash_registry::crash_registry() : Notices(SendsPerNotice) {}

bool crash_registry::add(const crash_notice &Notice) {
  auto [It, IsNewFingerprint] =
      CrashedEndpoints.try_emplace(Notice.Fingerprint);
  if (!It->second.insert(Notice.Endpoint).second)
    return false;
  if (IsNewFingerprint)
    InsertionOrder.push_back(Notice.Fingerprint);
  Notices.put({Notice.Fingerprint, Notice.Endpoint}, Notice);
  if (InsertionOrder.size() <= MaximumFingerprints)
    return true;
  auto Oldest = CrashedEndpoints.find(InsertionOrder.front());
  for (const auto &Endpoint : Oldest->second)
    Notices.erase({Oldest->first, Endpoint});
  CrashedEndpoints.erase(Oldest);
  InsertionOrder.erase(InsertionOrder.begin());
  return true;
}

crash_status crash_registry::statusOf(std::uint64_t Fingerprint) const {
  auto Found = CrashedEndpoints.find(Fingerprint);
  if (Found == CrashedEndpoints.end())
    return crash_status::Clear;
  return Found->second.size() >= CrashedEndpointsToRefuse
             ? crash_status::Refused
             : crash_status::Suspect;
}

std::vector<crash_notice> crash_registry::takeNotices() {
  return Notices.take(NewNoticesPerFrame, RepeatedNoticesPerFrame);
}

std::size_t crash_registry::refusedCount() const {
  return static_cast<std::size_t>(std::count_if(
      CrashedEndpoints.begin(), CrashedEndpoints.end(), [](const auto &Entry) {
        return Entry.second.size() >= CrashedEndpointsToRefuse;
      }));
}

std::uint64_t crashFingerprint(const client_account_id &Account,
                               const std::string &Body) {
  return fingerprintOf(Body, fingerprintOf(Account.text()));
}

} // namespace azurehaven
