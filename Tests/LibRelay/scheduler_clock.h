#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// A clock that shows the virtual time of a scheduler, also as wall-clock time.
class scheduler_clock : public clock_source {
public:
  explicit scheduler_clock(const event_scheduler &Scheduler)
      : Scheduler(Scheduler) {}
  steady_time now() const override { return Scheduler.now(); }
  unix_millis wallNow() const override {
    return unix_millis(std::chrono::duration_cast<milliseconds>(
                           Scheduler.now().time_since_epoch())
                           .count());
  }

private:
  const event_scheduler &Scheduler;
};

} // namespace azurehaven
