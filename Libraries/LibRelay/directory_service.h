#pragma once

#include "LibRelay/fleet_state.h"

#include <string>
#include <vector>

namespace azurehaven {

/// What callers are told when they ask where to connect.
struct directory_response {
  std::vector<network_address> Addresses;
  milliseconds TimeToLive{0};
};

/// The addresses of the VMs that take callers, this one among them while it
/// serves.
directory_response buildDirectoryResponse(const fleet_state &Fleet,
                                          const network_address &OwnAddress,
                                          steady_time Now);

/// Whether this VM can serve callers now.
bool isReadyForCallers(const fleet_state &Fleet, steady_time Now);

} // namespace azurehaven
