#pragma once

#include "LibDispatch/placement.h"
#include "LibRollout/rollout_controller.h"

namespace azurehaven {

/// The endpoints of a service that a request may be sent to during a roll-out;
/// with release_choice::Any all of them, whether usable or not. If no endpoint
/// of the target is usable, falls back to the other releases. Falls back to the
/// target only after completion, never while it is in trial or rolled back.
endpoint_list candidatesFor(const endpoint_list &Endpoints,
                            const release_rule &Rule, release_choice Choice,
                            steady_time Now);

} // namespace azurehaven
