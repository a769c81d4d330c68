#pragma once

#include <string>
#include <vector>

namespace azurehaven {

/// Runs `azurehaven ask`; returns the exit status.
int runAskCommand(const std::vector<std::string> &Arguments);

} // namespace azurehaven
