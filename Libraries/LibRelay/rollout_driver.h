#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibLog/event_log.h"
#include "LibRelay/fleet_state.h"
#include "LibStore/async_store.h"
#include "LibTypes/clock_source.h"

#include <functional>

namespace azurehaven {

/// Publishes what became of a roll-out where the operators look for it.
class rollout_publisher {
public:
  virtual ~rollout_publisher() = default;
  /// Writes the outcome if the published one still has this revision (0: none
  /// was published), together with the further entries. Conflict means that
  /// another VM was first.
  virtual void publish(const rollout_order &Order, rollout_outcome Outcome,
                       std::uint64_t Revision, std::vector<store_put> Further,
                       store_handler<std::uint64_t> Handler) = 0;
};

/// The system's own record of a roll-out, from which a VM that has just
/// started learns how far it is.
constexpr const char *RolloutPrefix = "azurehaven/rollouts/";

struct rollout_record {
  std::string Target;
  unix_millis BeganAt;
};

std::string encodeRolloutRecord(const rollout_record &Record);
result<rollout_record> decodeRolloutRecord(const std::string &Text);

/// Judges roll-outs and publishes their outcomes. All VMs decide the same; one
/// of them publishes, and the others only if it does not. Lives on the event
/// loop.
class rollout_driver {
public:
  rollout_driver(fleet_state &Fleet, const clock_source &Clock,
                 const event_log &Log, rollout_publisher &Publisher)
      : Fleet(Fleet), Clock(Clock), Log(Log), Publisher(Publisher) {}

  /// Called several times a second.
  void advance();

private:
  struct pending_outcome {
    rollout_outcome Outcome = rollout_outcome::InProgress;
    steady_time DueSince;
    bool IsBeingWritten = false;
    steady_time RetryAt;
  };
  void publish(const rollout_controller::outcome_update &Due, steady_time Now);

  fleet_state &Fleet;
  const clock_source &Clock;
  const event_log &Log;
  rollout_publisher &Publisher;
  std::map<service_id, pending_outcome> Pending;
};

} // namespace azurehaven
