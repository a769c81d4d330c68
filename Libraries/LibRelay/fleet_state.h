#pragma once

#include "LibDispatch/configuration_confirmation.h"
#include "LibDispatch/crash_quarantine.h"
#include "LibDispatch/endpoint_roster.h"
#include "LibDispatch/retry_allowance.h"
#include "LibDispatch/route_table.h"
#include "LibFleet/fleet_members.h"

#include <memory>

namespace azurehaven {

/// What this VM believes of the fleet. Shared by the parts of one event loop;
/// not thread-safe.
struct fleet_state {
  vm_id Self;
  failure_domain_id Domain;
  /// Null until a configuration is known.
  std::shared_ptr<const route_table> Routes;
  endpoint_roster Endpoints;
  fleet_members Members;
  configuration_confirmation Confirmation;
  retry_allowance Retries;
  crash_quarantine Quarantine;
  bool IsStopping = false;
  steady_time StoppingSince;
};

} // namespace azurehaven
