#pragma once

#include "LibRelay/fleet_state.h"

#include <set>

namespace azurehaven {

/// The other VMs as targets of requests for services to which this VM has lost
/// its path. Each is kept as an endpoint record: the same rules of load and
/// ejection apply as for endpoints.
class forwarding_peers {
public:
  /// Returns the VM with the fewest forwarded requests of this VM among those
  /// that reach the service; null if there is none.
  std::shared_ptr<endpoint_record> select(const fleet_state &Fleet,
                                          const service_id &Service,
                                          const std::set<endpoint_id> &Tried,
                                          steady_time Now);

private:
  std::shared_ptr<endpoint_record> recordOf(const member_entry &Member);

  std::map<vm_id, std::shared_ptr<endpoint_record>> Records;
};

} // namespace azurehaven
