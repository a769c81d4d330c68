#pragma once

#include "LibTypes/units.h"

#include <functional>

namespace azurehaven {

/// Runs tasks on the event loop after a delay. Tests replace it by one with
/// virtual time.
class event_scheduler {
public:
  virtual ~event_scheduler() = default;
  virtual steady_time now() const = 0;
  virtual void runAfter(milliseconds Delay, std::function<void()> Task) = 0;
};

} // namespace azurehaven
