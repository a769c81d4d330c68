#pragma once

#include "LibDispatch/brittle_services.h"
#include "LibDispatch/configuration_confirmation.h"
#include "LibDispatch/confirmation_exchange.h"
#include "LibDispatch/crash_quarantine.h"
#include "LibDispatch/endpoint_registry.h"
#include "LibDispatch/fleet_retry_budget.h"
#include "LibDispatch/latency_baseline.h"
#include "LibDispatch/model_cascade.h"
#include "LibDispatch/peer_contacts.h"
#include "LibDispatch/prefill_time_estimator.h"
#include "LibDispatch/prompt_quarantine.h"
#include "LibDispatch/route_table.h"
#include "LibDispatch/service_paths.h"
#include "LibDispatch/session_pins.h"
#include "LibFleet/fleet_members.h"
#include "LibRelay/unconfirmed_crash.h"
#include "LibRollout/release_statistics.h"
#include "LibRollout/rollout_controller.h"

#include <deque>
#include <memory>

namespace azurehaven {

/// This VM's view of the fleet. Shared by the components of one event loop; not
/// thread-safe.
struct fleet_state {
  vm_id Self;
  failure_domain_id Domain;
  /// Null until a configuration has been received.
  std::shared_ptr<const route_table> Routes;
  endpoint_registry Endpoints;
  fleet_members Members;
  configuration_confirmation Confirmation;
  fleet_retry_budget Retries;
  session_pins Pins;
  rollout_controller Rollouts;
  confirmation_exchange PassedConfirmations{};
  crash_quarantine Quarantine{};
  prompt_quarantine PromptQuarantine{};
  /// Crashes that only silence tells of, until it is known whether the process
  /// start has ended; see confirmCrashes().
  std::deque<unconfirmed_crash> UnconfirmedCrashes{};
  brittle_services BrittleServices{};
  service_paths Paths{};
  model_cascade Models{};
  release_statistics ReleaseStatistics{};
  peer_contacts Contacts{};
  /// Times between events of a stream, or total times of plain responses.
  latency_baseline LatencyBaseline{};
  /// Times from the sent request to the head of a stream, where the prompt was
  /// cached.
  latency_baseline HeadLatencyBaseline{};
  /// The same, where it was not.
  latency_baseline UncachedHeadLatencyBaseline{};
  prefill_time_estimator PrefillTimes{};
  bool IsStopping = false;
  steady_time StoppingSince{};
  /// Time from the stop signal until the process is killed.
  milliseconds StopGrace{8000};
};

} // namespace azurehaven
