#pragma once

#include "LibRelay/relay.h"

namespace azurehaven {

/// Record what an endpoint sent or the outcome of connecting to it, log a
/// change of what this VM believes about its path to the service, and end the
/// ejections of endpoints that were unreachable for that reason only.
void recordUnreachable(relay_context &Context, const endpoint_record &Endpoint,
                       steady_time Now);
/// Records that the endpoint could be connected to and did not respond to an
/// inspection that began at StartedAt.
void recordUnanswered(relay_context &Context, const endpoint_record &Endpoint,
                      steady_time StartedAt, steady_time Now);
void recordReceived(relay_context &Context, const endpoint_record &Endpoint,
                    steady_time Now);
void recordConnected(relay_context &Context, const endpoint_record &Endpoint,
                     steady_time Now);
void recordProbe(relay_context &Context, const service_id &Service,
                 const endpoint_id &Endpoint, bool IsReachable,
                 steady_time Now);

/// Finds paths that are lost by what other VMs have received meanwhile; to be
/// called every 100 ms or so.
void reviewPaths(relay_context &Context, steady_time Now);

} // namespace azurehaven
