#pragma once

#include "LibFleet/member_entry.h"
#include "LibTypes/units.h"

#include <map>
#include <optional>
#include <vector>

namespace azurehaven {

/// The entry processes that are registered under a lease. Not thread-safe.
class fleet_members {
public:
  void put(const member_entry &Member);
  void remove(const vm_id &Vm);
  /// Removes the member at this time unless it is put again before then.
  void scheduleRemoval(const vm_id &Vm, steady_time At);
  void removeExpired(steady_time Now);

  std::size_t size() const { return Members.size(); }
  std::vector<member_entry> all() const;
  std::optional<member_entry> find(const vm_id &Vm) const;
  /// Whether this VM is the one that rendezvous hashing selects for a task.
  /// Only avoids duplicate work: VMs with different views may both get true, so
  /// that it doesn't replace a lock.
  bool isPreferredFor(const std::string &Work, const vm_id &Self) const;

private:
  struct known_member {
    member_entry Entry;
    std::optional<steady_time> RemoveAt;
  };
  std::map<vm_id, known_member> Members;
};

} // namespace azurehaven
