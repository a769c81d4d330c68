#include "LibDispatch/sound_families.h"

#include "LibDispatch/crash_records.h"

namespace azurehaven {

void sound_families::add(const request_fingerprint &Request, steady_time Now) {
  const auto [Entry, IsNew] =
      Entries.insert_or_assign(Request.family(), entry{Request.content(), Now});
  if (!IsNew)
    return;
  Queue.emplace_back(Request.family(), Now);
  while (Entries.size() > MaximumFamilies)
    dropOldest();
}

void sound_families::dropOldest() {
  const auto [Family, QueuedAt] = Queue.front();
  Queue.pop_front();
  const auto Entry = Entries.find(Family);
  const steady_time LastSoundAt = Entry->second.LastSoundAt;
  if (LastSoundAt > QueuedAt)
    Queue.emplace_back(Family, LastSoundAt);
  else
    Entries.erase(Entry);
}

std::vector<std::pair<request_family, std::uint64_t>>
sound_families::related(std::uint64_t Fingerprint) const {
  std::vector<std::pair<request_family, std::uint64_t>> Related;
  const auto Add = [&](auto Entry) {
    Related.emplace_back(Entry->first, Entry->second.Content);
  };
  const auto Own = Entries.find(request_fingerprint::familyOf(Fingerprint));
  if (Own != Entries.end())
    Add(Own);
  const auto Last = request_fingerprint::familyOf(
      request_fingerprint::lastExactOf(Fingerprint));
  auto Entry = Entries.lower_bound(request_fingerprint::familyOf(
      request_fingerprint::firstExactOf(Fingerprint)));
  for (; Entry != Entries.end() && Entry->first <= Last; ++Entry)
    if (Entry->second.Content == Fingerprint)
      Add(Entry);
  return Related;
}

void sound_families::expire(steady_time Now) {
  while (!Queue.empty() &&
         Now - Queue.front().second > crash_records::RetentionTime)
    dropOldest();
}

} // namespace azurehaven
