#pragma once

#include <nlohmann/json.hpp>

namespace azurehaven {

/// Print human-readable reports to standard output.
void printStatus(const nlohmann::json &Status);
void printConfiguration(const nlohmann::json &Configuration);
void printAudit(const nlohmann::json &Records);
void printBills(const nlohmann::json &Bills);
void printExplanation(const nlohmann::json &Records);

} // namespace azurehaven
