#pragma once

#include "LibRelay/fleet_state.h"

#include <string>
#include <vector>

namespace azurehaven {

/// Response to a caller that looks up which VMs it can connect to.
struct directory_response {
  std::vector<network_address> Addresses;
  milliseconds TimeToLive{0};
};

/// Lists the caller addresses of all members; this VM's own only while it is
/// ready. If none is left, lists this VM's address.
directory_response buildDirectoryResponse(const fleet_state &Fleet,
                                          const network_address &OwnAddress,
                                          steady_time Now);

/// Whether this VM can serve callers now.
bool isReadyForCallers(const fleet_state &Fleet, steady_time Now);

} // namespace azurehaven
