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
  /// Whether rendezvous hashing selects this VM for a task. Only avoids
  /// duplicate work and must not serve as a lock: VMs with different views of
  /// the members may each get true.
  bool isPreferredFor(const std::string &Task, const vm_id &Self) const;

  /// Whether this VM is among the Count that rendezvous hashing selects for a
  /// task, under the same reservation.
  bool isAmongPreferred(const std::string &Task, const vm_id &Self,
                        std::size_t Count) const;

private:
  struct known_member {
    member_entry Entry;
    std::optional<steady_time> RemoveAt;
  };
  std::map<vm_id, known_member> Members;
};

} // namespace azurehaven
