#pragma once

#include "LibEntry/entry_services.h"

namespace azurehaven {

/// Asks the store for the newest configuration. Only a few VMs of a failure
/// domain ask while the store answers; the others live on their word.
class configuration_poller {
public:
  explicit configuration_poller(const entry_services &Services)
      : Services(Services) {}

  /// One round; blocks on the store.
  void poll();

private:
  bool isPollNeeded() const;

  const entry_services &Services;
  std::uint64_t KnownRevision = 0;
};

} // namespace azurehaven
