#pragma once

#include "LibDispatch/endpoint_roster.h"

namespace azurehaven {

/// One answer failed or broke off: the endpoint gets no new work for a while,
/// twice as long with each further failure in a row.
void noteFailure(endpoint_record &Endpoint, steady_time Now);
/// One answer was a failure of its own; avoided from the second in a row on.
void noteAnsweredFailure(endpoint_record &Endpoint, steady_time Now);
void noteSuccess(endpoint_record &Endpoint);
/// Another endpoint answers at its address.
void noteMisdirected(endpoint_record &Endpoint, steady_time Now);
/// Whether this break-off is the first of those with one cause: all requests
/// on an endpoint that breaks down fail with it.
bool isFirstBreakdown(endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
