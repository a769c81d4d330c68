#pragma once

#include "LibDispatch/fleet_retry_budget.h"
#include "LibRelay/relay_memory.h"
#include "LibRollout/exposure_budget.h"
#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// Start-up settings of a relay process.
struct relay_settings {
  vm_id Vm;
  failure_domain_id Domain;
  network_address CallerAddress;
  network_address PeerAddress;
  /// Where peers forward requests of callers; with port 0 nowhere.
  network_address ForwardingAddress;
  /// Maximum number of open file descriptors.
  std::size_t DescriptorLimit = 1024;
  std::size_t MemoryBytes = relay_memory::DefaultVmBytes;
  /// Time from the stop signal until the process is killed.
  milliseconds StopGrace{8000};
  /// Longest expected time between two requests of a session.
  milliseconds SessionGap{5000};
  /// Time within which all VMs must refuse a revoked API key; nullopt where
  /// serving with an old configuration is allowed.
  std::optional<milliseconds> RevokeBound;
  retry_budget_limits Retries;
  exposure_limits Exposure;
};

} // namespace azurehaven
