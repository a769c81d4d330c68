#pragma once

#include "LibControl/configuration_freshness.h"
#include "LibControl/configuration_holder.h"
#include "LibEntry/admission_gate.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/rating_sender.h"
#include "LibLedger/bill_committer.h"
#include "LibLedger/claim_registry.h"
#include "LibLedger/request_id_registry.h"
#include "LibLog/event_log.h"
#include "LibMembership/member_table.h"
#include "LibMetrics/metrics.h"
#include "LibRouting/prompt_crash_registry.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// The components that the parts of an entry process share. All are
/// thread-safe.
struct entry_services {
  const entry_settings &Settings;
  const clock_source &Clock;
  event_log &Log;
  metrics &Metrics;
  http_transport &Transport;
  configuration_holder &Configuration;
  configuration_freshness &Freshness;
  member_table &Members;
  router &Router;
  prompt_crash_registry &PromptCrashes;
  admission_gate &Gate;
  decision_log &Decisions;
  bill_committer &Bills;
  claim_registry &Claims;
  request_id_registry &RequestIds;
  store &Store;
  rating_sender &Ratings;
  /// Wakes the heartbeat task, so that urgent notices are sent immediately.
  std::function<void()> SendHeartbeatsNow;

  /// The configuration in force, or null if this VM can't confirm that it is
  /// the newest.
  std::shared_ptr<const configuration> currentConfiguration() const {
    auto Current = Configuration.current();
    if (!Freshness.isCurrent(Current->Version, Current->Roster, Clock.now()))
      return nullptr;
    return Current;
  }
};

} // namespace azurehaven
