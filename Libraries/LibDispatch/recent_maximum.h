#pragma once

#include "LibTypes/units.h"

#include <cstddef>

namespace azurehaven {

/// The largest of the values observed within a period: each counts for one to
/// two periods. Not thread-safe.
class recent_maximum {
public:
  explicit recent_maximum(milliseconds Period) : Period(Period) {}

  void observe(std::size_t Value, steady_time Now);
  /// 0 if nothing has been observed.
  std::size_t value() const;

private:
  milliseconds Period;
  steady_time PeriodStart;
  std::size_t Current = 0;
  std::size_t Previous = 0;
};

} // namespace azurehaven
