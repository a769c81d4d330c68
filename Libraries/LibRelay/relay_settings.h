#pragma once

#include "LibDispatch/fleet_retry_budget.h"
#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// Everything that a relay process is told at its start.
struct relay_settings {
  vm_id Vm;
  failure_domain_id Domain;
  network_address CallerAddress;
  network_address PeerAddress;
  std::size_t DescriptorLimit = 1024;
  /// From the request to stop until the process is killed.
  milliseconds StopGrace{8000};
  /// Requests of a session follow each other within this time.
  milliseconds SessionGap{5000};
  /// Within which a key that was taken away must be refused everywhere;
  /// nullopt where serving on an old configuration is allowed.
  std::optional<milliseconds> RevokeBound;
  retry_budget_limits Retries;
  /// Part of a service's requests that an untrusted release may get in all.
  double ExposureShare = 0.1;
};

} // namespace azurehaven
