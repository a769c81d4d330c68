#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibLog/event_log.h"
#include "LibRelay/fleet_state.h"
#include "LibRelay/rollout_log.h"
#include "LibStore/async_store.h"
#include "LibTypes/clock_source.h"

#include <functional>

namespace azurehaven {

/// Publishes the outcome of a roll-out to the operators.
class rollout_publisher {
public:
  virtual ~rollout_publisher() = default;
  /// Writes the outcome and the extra entries in one transaction, if the
  /// published outcome still has this revision (absent: none was published).
  /// Conflict means that another VM published first.
  virtual void publish(const rollout_order &Order, rollout_outcome Outcome,
                       store_revision Revision,
                       std::vector<store_put> ExtraPuts,
                       store_handler<store_revision> Handler) = 0;
};

/// Tells the other VMs at once what this one knows.
class fleet_announcer {
public:
  virtual ~fleet_announcer() = default;
  virtual void announce() = 0;
};

/// Prefix of the roll-out records in the store, from which a VM that has just
/// started reads how long a roll-out has been running.
constexpr const char *RolloutPrefix = "azurehaven/rollouts/";

struct rollout_record {
  std::string Target;
  unix_millis BeganAt;
  /// Counted from the start of the roll-out; zero if it was not postponed.
  milliseconds ShiftStart{0};
};

std::string encodeRolloutRecord(const rollout_record &Record);
result<rollout_record> decodeRolloutRecord(const std::string &Text);

/// Evaluates roll-outs, publishes their outcomes and tells the other VMs. One
/// preferred VM publishes, the others only if it fails to.
/// Used on the event loop only.
class rollout_driver {
public:
  rollout_driver(fleet_state &Fleet, const clock_source &Clock,
                 const event_log &Log, rollout_publisher &Publisher,
                 fleet_announcer &Announcer)
      : Fleet(Fleet), Clock(Clock), Log(Log), Publisher(Publisher),
        Announcer(Announcer), RolloutLog(Log) {}

  /// Must be called several times per second.
  void advance();

private:
  struct pending_outcome {
    rollout_outcome Outcome = rollout_outcome::InProgress;
    steady_time DueSince;
    milliseconds ShiftStart{0};
    bool IsPublishing = false;
    steady_time RetryAt;
  };
  rollout_surroundings surroundings() const;
  void publish(const rollout_controller::outcome_update &Due, steady_time Now);
  void onPublished(const rollout_controller::outcome_update &Update,
                   const result<store_revision> &Result);
  void announceNews();

  fleet_state &Fleet;
  const clock_source &Clock;
  const event_log &Log;
  rollout_publisher &Publisher;
  fleet_announcer &Announcer;
  std::map<service_id, pending_outcome> Pending;
  rollout_log RolloutLog;
};

} // namespace azurehaven
