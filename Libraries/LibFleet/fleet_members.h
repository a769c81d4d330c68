#pragma once

#include "LibFleet/member_entry.h"
#include "LibTypes/units.h"

#include <map>
#include <optional>
#include <vector>

namespace azurehaven {

/// The entry processes that hold a lease. Not thread-safe.
class fleet_members {
public:
  void put(const member_entry &Member);
  void remove(const vm_id &Vm);
  /// Takes the member away at this time unless it is put again before.
  void scheduleRemoval(const vm_id &Vm, steady_time At);
  void removeExpired(steady_time Now);

  std::size_t size() const { return Members.size(); }
  std::vector<member_entry> all() const;
  std::optional<member_entry> find(const vm_id &Vm) const;
  /// The member that takes a piece of work which one should do: a hint that
  /// saves effort, never a guard.
  bool isPreferredFor(const std::string &Work, const vm_id &Self) const;

private:
  struct known_member {
    member_entry Entry;
    std::optional<steady_time> RemoveAt;
  };
  std::map<vm_id, known_member> Members;
};

} // namespace azurehaven
