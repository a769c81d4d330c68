#pragma once

#include "LibDispatch/crash_records.h"

#include <cstddef>
#include <vector>

namespace azurehaven {

/// When an endpoint crashed; see crash_record.
struct crash_time {
  /// Implicit: most crashes are certain.
  crash_time(steady_time At, milliseconds CoincidenceTime = milliseconds(0))
      : At(At), CoincidenceTime(CoincidenceTime) {}

  steady_time At;
  milliseconds CoincidenceTime;
};

/// The most of these crashes of which no two can have had one cause that ends
/// many endpoints at once: each began to be possible after the one before.
std::size_t countIndependent(std::vector<crash_time> Crashes);
/// The same for crash records.
std::size_t countIndependentCrashes(const std::vector<crash_record> &Records);

} // namespace azurehaven
