#pragma once

#include "LibDispatch/placement.h"
#include "LibDispatch/rollout_controller.h"

namespace azurehaven {

/// The endpoints of a service that a request may go to while its releases are
/// replaced. Falls back to the other releases only where that is safe for the
/// caller: never to a target that was taken back.
endpoint_list candidatesFor(const endpoint_list &Endpoints,
                            const release_rule &Rule, release_choice Choice,
                            steady_time Now);

} // namespace azurehaven
