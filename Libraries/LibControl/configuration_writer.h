#pragma once

#include "LibConfig/configuration_change.h"
#include "LibStore/store.h"

namespace azurehaven {

/// The store's key of the newest configuration.
inline const std::string ConfigurationKey = "config/head";
inline const std::string AuditPrefix = "audit/";

/// Puts changes into the store by compare-and-swap. Stateless; calls block.
class configuration_writer {
public:
  explicit configuration_writer(store &Store) : Store(Store) {}

  /// Returns the configuration in which the change has taken effect.
  /// Errors: InvalidInput, Conflict (nothing changed), Unavailable (nothing
  /// changed), OutcomeUnknown (ask again with the same change id).
  result<configuration> submit(const configuration_change &Change,
                               unix_millis ChangedAt);

  /// The newest configuration, of version 0 if there is none yet.
  result<configuration> read();

private:
  struct stored_configuration {
    configuration Configuration;
    std::uint64_t Revision = AbsentRevision;
  };

  result<stored_configuration> readWithRevision();
  void writeAudit(const configuration &Configuration);

  store &Store;
};

} // namespace azurehaven
