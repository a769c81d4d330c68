#pragma once

#include "LibConfig/configuration.h"
#include "LibTypes/ranked_mutex.h"

#include <memory>

namespace azurehaven {

/// The configuration in force on this VM; replaced only by higher versions.
/// Thread-safe (lock_rank::Configuration).
class configuration_holder {
public:
  configuration_holder();

  std::shared_ptr<const configuration> current() const;
  /// Puts a configuration in force; returns whether it was newer.
  bool replaceIfNewer(configuration Candidate);

private:
  mutable ranked_mutex Mutex{lock_rank::Configuration};
  std::shared_ptr<const configuration> Current;
};

} // namespace azurehaven
