#pragma once

#include "LibEntry/refusal.h"
#include "LibRouting/router.h"

namespace azurehaven {

/// The response to a chat request that the router refuses. Run: whether an
/// engine may have run the request before.
refusal makeRoutingRefusal(const routing_refusal &Refusal, run_state Run);

} // namespace azurehaven
