#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// Time until the VM, which is stopping, ends the requests that are left; not
/// positive from then on.
milliseconds timeUntilForcedEnd(const fleet_state &Fleet, steady_time Now);
/// Whether the VM may send the request to an endpoint: always unless it is
/// stopping, and then if the response can be expected before requests are
/// ended. TimeLimit: of the request.
bool isAdmittedDuringStop(const fleet_state &Fleet, const route &Route,
                          milliseconds TimeLimit, steady_time Now);
/// The error response to a request that is not admitted.
error_response stoppingErrorResponse(bool MayHaveRun);

} // namespace azurehaven
