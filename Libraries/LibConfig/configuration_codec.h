#pragma once

#include "LibConfig/configuration.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// Returns the JSON form of a configuration, used in the store and for peers.
nlohmann::json encodeConfiguration(const configuration &Configuration);

/// Returns InvalidInput if a field is missing or has the wrong type.
result<configuration> decodeConfiguration(const std::string &Text);

nlohmann::json encodeAuditRecord(const audit_record &Record);
nlohmann::json encodeWorkClass(const work_class &Class);
/// Omits the hash of the account's key.
nlohmann::json encodeAccountForOperators(const client_account &Account);
nlohmann::json encodeModelVersion(const model_version &Version);

} // namespace azurehaven
