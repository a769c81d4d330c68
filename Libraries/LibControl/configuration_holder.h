#pragma once

#include "LibConfig/configuration.h"
#include "LibTypes/ranked_mutex.h"

#include <memory>

namespace azurehaven {

/// Holds this VM's active configuration; only a higher version replaces it.
/// Thread-safe (lock_rank::Configuration).
class configuration_holder {
public:
  configuration_holder();

  std::shared_ptr<const configuration> current() const;
  /// Activates the candidate if its version is higher; returns whether it is.
  bool replaceIfNewer(configuration Candidate);

private:
  mutable ranked_mutex Mutex{lock_rank::Configuration};
  std::shared_ptr<const configuration> Current;
};

} // namespace azurehaven
