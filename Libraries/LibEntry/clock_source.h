#pragma once

#include "LibTypes/units.h"

namespace azurehaven {

/// Where the edges of the process read the time that they pass inwards.
class clock_source {
public:
  virtual ~clock_source() = default;
  virtual steady_time now() const = 0;
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

} // namespace azurehaven
