#pragma once

#include "LibConfig/configuration.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// One operator's (or the system's own) wish, applied as a whole or not at all.
struct configuration_change {
  change_id Id;
  std::string Actor;
  /// "put_class", "put_account", "put_version", "put_service",
  /// "set_version_state", "rotate_session_key", "add_to_roster",
  /// "remove_from_roster" or "batch".
  std::string Kind;
  nlohmann::json Body;
  /// The version that the author saw; a later change of the same subject by
  /// somebody else is a conflict. Zero skips the check.
  std::uint64_t BaseVersion = 0;
};

/// Parses the operators' JSON form; errors name the field.
result<configuration_change> parseChange(const std::string &Text);

/// Applies a change to a copy of the configuration.
/// Returns InvalidInput with every fault found (field, value, accepted values)
/// or Conflict naming who changed the subject, to what and when.
result<configuration> applyChange(const configuration &Current,
                                  const configuration_change &Change,
                                  unix_millis ChangedAt);

/// The record of a change that has taken effect, or null. This is how a write
/// whose answer was lost is resolved.
const audit_record *findChange(const configuration &Configuration,
                               const change_id &Id);

} // namespace azurehaven
