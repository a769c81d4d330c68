#pragma once

#include "LibTypes/units.h"

#include <functional>

namespace azurehaven {

/// Runs work later on the event loop. Tests drive it in virtual time.
class event_scheduler {
public:
  virtual ~event_scheduler() = default;
  virtual steady_time now() const = 0;
  virtual void runAfter(milliseconds Delay, std::function<void()> Work) = 0;
};

} // namespace azurehaven
