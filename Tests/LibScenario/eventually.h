#pragma once

#include "LibTypes/result.h"

#include <functional>

namespace azurehaven {

/// Polls until Check returns no error, or returns its last one after a limit
/// far above what any awaited event takes.
status eventually(const std::function<status()> &Check);

} // namespace azurehaven
