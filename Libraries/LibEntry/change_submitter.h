#pragma once

#include "LibConfig/configuration_change.h"
#include "LibEntry/entry_services.h"

namespace azurehaven {

enum class change_state {
  /// Held by a majority of the roster. A VM that has not received the change
  /// refuses requests until it has.
  Accepted,
  /// Stored, but not yet held by a majority.
  Written,
};

struct submitted_change {
  /// Version of the configuration that first contained the change.
  std::uint64_t Version = 0;
  change_state State = change_state::Written;
};

/// Writes a change to the store, applies it on this VM and waits at most
/// MajorityTimeout until a majority of the roster holds it. Returns an error if
/// the change can't be written.
result<submitted_change> submitChange(const entry_services &Services,
                                      const configuration_change &Change,
                                      milliseconds MajorityTimeout);

} // namespace azurehaven
