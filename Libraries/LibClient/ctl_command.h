#pragma once

#include <string>
#include <vector>

namespace azurehaven {

/// Runs `azurehaven ctl`; returns the exit status.
int runCtlCommand(const std::vector<std::string> &Arguments);

} // namespace azurehaven
