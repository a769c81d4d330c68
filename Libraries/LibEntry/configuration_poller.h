#pragma once

#include "LibEntry/entry_services.h"

namespace azurehaven {

/// Polls the store for the newest configuration. While the store is available,
/// only a few VMs of each failure domain poll it; the others rely on the
/// confirmations in their heartbeats.
class configuration_poller {
public:
  explicit configuration_poller(const entry_services &Services)
      : Services(Services) {}

  /// Polls once if needed. Blocks on the store.
  void poll();

private:
  bool isPollNeeded() const;

  const entry_services &Services;
  /// Store revision of the configuration read last; a poll returns only a newer
  /// one.
  std::uint64_t KnownRevision = 0;
};

} // namespace azurehaven
