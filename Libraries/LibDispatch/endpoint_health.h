#pragma once

#include "LibDispatch/endpoint_registry.h"

namespace azurehaven {

/// Records a failed attempt and ejects the endpoint: it gets no new requests
/// for a time that doubles with each consecutive failure, up to a limit.
void recordFailure(endpoint_record &Endpoint, steady_time Now);
/// Records an error response; the endpoint is ejected from the second
/// consecutive failure on.
void recordErrorResponse(endpoint_record &Endpoint, steady_time Now);
void recordSuccess(endpoint_record &Endpoint);
/// Records that another endpoint responds at this endpoint's address, and
/// ejects the endpoint for the longest ejection time.
void recordIdentityMismatch(endpoint_record &Endpoint, steady_time Now);
/// Records a truncated or missing response. Returns whether it starts a new
/// crash: all requests on an endpoint that crashes fail together.
bool recordCrash(endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
