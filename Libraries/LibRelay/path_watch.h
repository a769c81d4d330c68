#pragma once

#include "LibRelay/relay.h"

namespace azurehaven {

/// Record the outcome of connecting to an endpoint, log a change of what this
/// VM believes about its path to the service, and end the ejections of
/// endpoints that were unreachable for that reason only.
void recordUnreachable(relay_context &Context, const endpoint_record &Endpoint,
                       steady_time Now);
void recordConnected(relay_context &Context, const endpoint_record &Endpoint,
                     steady_time Now);
void recordProbe(relay_context &Context, const service_id &Service,
                 const endpoint_id &Endpoint, bool IsReachable,
                 steady_time Now);

} // namespace azurehaven
