#include "LibFleet/fleet_members.h"

#include "LibTypes/fingerprint.h"

namespace azurehaven {

void fleet_members::put(const member_entry &Member) {
  Members[Member.Vm] = {Member, std::nullopt};
}

void fleet_members::remove(const vm_id &Vm) { Members.erase(Vm); }

void fleet_members::scheduleRemoval(const vm_id &Vm, steady_time At) {
  auto Found = Members.find(Vm);
  if (Found != Members.end() && !Found->second.RemoveAt)
    Found->second.RemoveAt = At;
}

void fleet_members::removeExpired(steady_time Now) {
  std::erase_if(Members, [&](const auto &Entry) {
    return Entry.second.RemoveAt && *Entry.second.RemoveAt <= Now;
  });
}

std::vector<member_entry> fleet_members::all() const {
  std::vector<member_entry> All;
  for (const auto &[Vm, Member] : Members)
    All.push_back(Member.Entry);
  return All;
}

std::optional<member_entry> fleet_members::find(const vm_id &Vm) const {
  auto Found = Members.find(Vm);
  if (Found == Members.end())
    return std::nullopt;
  return Found->second.Entry;
}

bool fleet_members::isPreferredFor(const std::string &Task,
                                   const vm_id &Self) const {
  return isAmongPreferred(Task, Self, 1);
}

bool fleet_members::isAmongPreferred(const std::string &Task, const vm_id &Self,
                                     std::size_t Count) const {
  const std::uint64_t OwnScore = rendezvousScore(Task, Self.text());
  std::size_t Higher = 0;
  for (const auto &[Vm, Member] : Members)
    if (Vm != Self && rendezvousScore(Task, Vm.text()) > OwnScore)
      ++Higher;
  return Higher < Count;
}

} // namespace azurehaven
