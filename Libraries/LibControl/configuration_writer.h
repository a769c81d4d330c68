#pragma once

#include "LibConfig/configuration_change.h"
#include "LibStore/store.h"

namespace azurehaven {

/// Store key of the newest configuration.
inline const std::string ConfigurationKey = "config/head";
/// Prefix of the audit records' store keys, which end in the version.
inline const std::string AuditPrefix = "audit/";

/// Commits changes to the store by compare-and-swap. Stateless; calls block.
class configuration_writer {
public:
  explicit configuration_writer(store &Store) : Store(Store) {}

  /// Returns a configuration that contains the change.
  /// Errors: InvalidInput, Conflict (nothing changed), Unavailable (nothing
  /// changed), OutcomeUnknown (retry with the same change id).
  result<configuration> submit(const configuration_change &Change,
                               unix_millis ChangedAt);

  /// The newest configuration, or one of version 0 if none is stored.
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
