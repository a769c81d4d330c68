#pragma once

#include "LibScenario/statement.h"
#include "LibTypes/result.h"

namespace azurehaven {

/// Parses a scenario. Errors name the file, the line and what was expected.
result<std::vector<statement>> parseScenario(const std::string &Text,
                                             const std::string &FileName);

} // namespace azurehaven
