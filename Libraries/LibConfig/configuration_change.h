#pragma once

#include "LibConfig/configuration.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// One change requested by an operator or by the automation, applied
/// atomically.
struct configuration_change {
  change_id Id;
  std::string Actor;
  /// "put_class", "put_account", "put_version", "put_service",
  /// "set_version_state", "rotate_session_key", "add_to_roster",
  /// "remove_from_roster" or "batch".
  std::string Kind;
  nlohmann::json Body;
  /// The configuration version on which the change is based. A later change of
  /// the same subject is a conflict. Zero skips the check.
  std::uint64_t BaseVersion = 0;
};

/// Parses a change in the JSON form that operators send; errors name the field.
result<configuration_change> parseChange(const std::string &Text);

/// Applies a change to a copy of the configuration.
/// Returns InvalidInput that lists every error (field, value, accepted values),
/// or Conflict that names who changed the subject, how and at which version.
result<configuration> applyChange(const configuration &Current,
                                  const configuration_change &Change,
                                  unix_millis ChangedAt);

/// Returns the record of an applied change, or null. Resolves the outcome of a
/// write whose response was lost.
const audit_record *findChange(const configuration &Configuration,
                               const change_id &Id);

} // namespace azurehaven
