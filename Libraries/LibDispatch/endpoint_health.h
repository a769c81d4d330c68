#pragma once

#include "LibDispatch/endpoint_registry.h"

namespace azurehaven {

/// One answer failed or broke off: the endpoint gets no new work for a while,
/// twice as long with each further failure in a row.
void recordFailure(endpoint_record &Endpoint, steady_time Now);
/// One answer was a failure of its own; avoided from the second in a row on.
void recordErrorResponse(endpoint_record &Endpoint, steady_time Now);
void recordSuccess(endpoint_record &Endpoint);
/// Another endpoint answers at its address.
void recordIdentityMismatch(endpoint_record &Endpoint, steady_time Now);
/// Whether this break-off is the first of those with one cause: all requests
/// on an endpoint that breaks down fail with it.
bool recordCrash(endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
