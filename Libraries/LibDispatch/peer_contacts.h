#pragma once

#include "LibRollout/evidence_coverage.h"
#include "LibTypes/ids.h"

#include <map>
#include <vector>

namespace azurehaven {

/// When the other VMs were last heard of. Not thread-safe.
class peer_contacts {
public:
  void onNotice(const vm_id &Vm, steady_time Now) { HeardAt[Vm] = Now; }
  /// Of which of these VMs the counts are known.
  evidence_coverage coverage(const std::vector<vm_id> &Others,
                             steady_time Now) const;
  /// Forgets VMs that have not been heard of for long.
  void expire(steady_time Now);

private:
  std::map<vm_id, steady_time> HeardAt;
};

} // namespace azurehaven
