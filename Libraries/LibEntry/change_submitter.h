#pragma once

#include "LibConfig/configuration_change.h"
#include "LibEntry/entry_services.h"

namespace azurehaven {

enum class change_state {
  /// In force on a majority of the entry VMs: a VM that has not heard of it
  /// refuses work until it has.
  Accepted,
  /// In the store, and on its way.
  Written,
};

struct submitted_change {
  std::uint64_t Version = 0;
  change_state State = change_state::Written;
};

/// Puts a change into the store, in force here, and waits for a majority.
result<submitted_change> submitChange(const entry_services &Services,
                                      const configuration_change &Change,
                                      milliseconds MajorityTimeout);

} // namespace azurehaven
