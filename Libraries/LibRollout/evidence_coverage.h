#pragma once

#include "LibTypes/units.h"

#include <cstddef>

namespace azurehaven {

/// Of how many VMs of the fleet this one knows what they have counted.
struct evidence_coverage {
  /// This VM included.
  std::size_t Members = 1;
  /// Members whose counts have arrived lately, this VM included.
  std::size_t Heard = 1;
  /// The oldest notice of those.
  milliseconds OldestAge{0};

  /// Whether it is a majority, so that VMs that are cut off from the others do
  /// not decide by their part of the evidence.
  bool isSufficient() const { return 2 * Heard > Members; }
};

} // namespace azurehaven
