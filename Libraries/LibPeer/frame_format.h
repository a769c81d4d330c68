#pragma once

#include <cstdint>

namespace azurehaven {

/// Stands for the process start that a VM has reached in frames of earlier
/// builds, which do not name it.
constexpr std::uint64_t NoProcessStart = 0;

} // namespace azurehaven
