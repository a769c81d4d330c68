#include "LibRouting/crash_registry.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr std::size_t FreshNoticesPerFrame = 16;
constexpr std::size_t RepeatedNoticesPerFrame = 1;
constexpr std::size_t NoticeSends = 8;
constexpr std::size_t FingerprintLimit = 10000;
constexpr std::size_t EndpointsToRefuse = 2;

} // namespace

crash_registry::crash_registry() : Notices(NoticeSends) {}

bool crash_registry::add(const crash_notice &Notice) {
  auto [It, IsNewFingerprint] = Breakdowns.try_emplace(Notice.Fingerprint);
  if (!It->second.insert(Notice.Endpoint).second)
    return false;
  if (IsNewFingerprint)
    Order.push_back(Notice.Fingerprint);
  Notices.put({Notice.Fingerprint, Notice.Endpoint}, Notice);
  if (Order.size() <= FingerprintLimit)
    return true;
  auto Oldest = Breakdowns.find(Order.front());
  for (const auto &Endpoint : Oldest->second)
    Notices.erase({Oldest->first, Endpoint});
  Breakdowns.erase(Oldest);
  Order.erase(Order.begin());
  return true;
}

crash_standing crash_registry::standingOf(std::uint64_t Fingerprint) const {
  auto Found = Breakdowns.find(Fingerprint);
  if (Found == Breakdowns.end())
    return crash_standing::Clear;
  return Found->second.size() >= EndpointsToRefuse ? crash_standing::Refused
                                                   : crash_standing::Suspect;
}

std::vector<crash_notice> crash_registry::takeNotices() {
  return Notices.take(FreshNoticesPerFrame, RepeatedNoticesPerFrame);
}

std::size_t crash_registry::refusedCount() const {
  return static_cast<std::size_t>(std::count_if(
      Breakdowns.begin(), Breakdowns.end(), [](const auto &Entry) {
        return Entry.second.size() >= EndpointsToRefuse;
      }));
}

std::uint64_t crashFingerprint(const client_account_id &Account,
                               const std::string &Body) {
  return fingerprintOf(Body, fingerprintOf(Account.text()));
}

} // namespace azurehaven
