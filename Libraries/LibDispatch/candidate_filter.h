#pragma once

#include "LibDispatch/placement.h"
#include "LibDispatch/rollout_controller.h"

namespace azurehaven {

/// The endpoints of a service that a request may be sent to during a roll-out.
/// Falls back to the other releases only where that is safe for the caller:
/// never to a target that was rolled back.
endpoint_list candidatesFor(const endpoint_list &Endpoints,
                            const release_rule &Rule, release_choice Choice,
                            steady_time Now);

} // namespace azurehaven
