#pragma once

#include "LibTypes/units.h"

#include <ctime>

namespace azurehaven {

/// Clock of the components that do I/O; they pass the time to the others as a
/// parameter.
class clock_source {
public:
  virtual ~clock_source() = default;
  virtual steady_time now() const = 0;
  /// Wall-clock time.
  virtual unix_millis wallNow() const = 0;
};

class system_clock_source : public clock_source {
public:
  steady_time now() const override { return std::chrono::steady_clock::now(); }
  unix_millis wallNow() const override {
    const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return unix_millis(
        std::chrono::duration_cast<milliseconds>(SinceEpoch).count());
  }
};

/// A clock whose steady time includes the time during which the VM is
/// suspended, so that ages are not too low after a suspension.
class boot_clock_source : public system_clock_source {
public:
  steady_time now() const override {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return steady_time(std::chrono::seconds(Time.tv_sec) +
                       std::chrono::nanoseconds(Time.tv_nsec));
  }
};

} // namespace azurehaven
