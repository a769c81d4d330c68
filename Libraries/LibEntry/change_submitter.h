#pragma once

#include "LibConfig/configuration_change.h"
#include "LibEntry/entry_services.h"

namespace azurehaven {

enum class change_state {
  /// In force on a majority of the entry VMs. A VM that has not received the
  /// change refuses requests until it has.
  Accepted,
  /// Stored, but not yet held by a majority.
  Written,
};

struct submitted_change {
  std::uint64_t Version = 0;
  change_state State = change_state::Written;
};

/// Writes a change to the store, applies it on this VM and waits at most
/// MajorityTimeout until a majority of the roster holds it.
result<submitted_change> submitChange(const entry_services &Services,
                                      const configuration_change &Change,
                                      milliseconds MajorityTimeout);

} // namespace azurehaven
