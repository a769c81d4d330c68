#pragma once

#include "LibTypes/result.h"

#include <functional>

namespace azurehaven {

/// Polls Check until it returns no error. Returns its last error after a limit
/// far above the duration of any awaited event.
status eventually(const std::function<status()> &Check);

} // namespace azurehaven
