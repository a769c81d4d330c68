#pragma once

namespace azurehaven {

enum class rollout_outcome { InProgress, Completed, RolledBack };

/// The outcome's name in logs.
const char *nameOf(rollout_outcome Outcome);

} // namespace azurehaven
