#pragma once

#include "LibDispatch/configuration_confirmation.h"
#include "LibDispatch/crash_quarantine.h"
#include "LibDispatch/endpoint_roster.h"
#include "LibDispatch/model_choice.h"
#include "LibDispatch/pace_baseline.h"
#include "LibDispatch/prompt_pace.h"
#include "LibDispatch/release_evidence.h"
#include "LibDispatch/retry_allowance.h"
#include "LibDispatch/rollout_control.h"
#include "LibDispatch/route_table.h"
#include "LibDispatch/session_pins.h"
#include "LibFleet/fleet_members.h"

#include <memory>

namespace azurehaven {

/// This VM's view of the fleet. Shared by the components of one event loop; not
/// thread-safe.
struct fleet_state {
  vm_id Self;
  failure_domain_id Domain;
  /// Null until a configuration has been received.
  std::shared_ptr<const route_table> Routes;
  endpoint_roster Endpoints;
  fleet_members Members;
  configuration_confirmation Confirmation;
  retry_allowance Retries;
  session_pins Pins;
  rollout_control Rollouts;
  crash_quarantine Quarantine{};
  model_choice Models{};
  release_evidence Evidence{};
  pace_baseline Paces{};
  prompt_pace PromptPace{};
  bool IsStopping = false;
  steady_time StoppingSince{};
  /// Time from the stop signal until the process is killed.
  milliseconds StopGrace{8000};
};

} // namespace azurehaven
