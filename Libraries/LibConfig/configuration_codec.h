#pragma once

#include "LibConfig/configuration.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// JSON form of a configuration, as kept in the store and sent to peers.
nlohmann::json encodeConfiguration(const configuration &Configuration);

/// Returns error_code::InvalidInput when a field is missing or ill-typed.
result<configuration> decodeConfiguration(const std::string &Text);

nlohmann::json encodeAuditRecord(const audit_record &Record);
nlohmann::json encodeWorkClass(const work_class &Class);
/// Leaves out the hash of the account's key.
nlohmann::json encodeAccountForOperators(const client_account &Account);
nlohmann::json encodeModelVersion(const model_version &Version);

} // namespace azurehaven
