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
/// Records that the endpoint has asked this VM to send nothing for a time.
/// SpreadFraction, in [0, 1), differs between VMs: each resumes at another
/// moment after that time. Designed for an endpoint that sheds the load of many
/// VMs and must not get all of it back at once.
void recordShedding(endpoint_record &Endpoint, milliseconds RetryAfter,
                    double SpreadFraction, steady_time Now);
/// Whether the endpoint takes another request of this VM after it has shed
/// load: none before the end of that time, then a growing number at a time.
bool isAdmittedAfterShedding(const endpoint_record &Endpoint, steady_time Now);
/// Shortest time after which one of the endpoints takes requests of this VM
/// again if all that are not leaving shed load or limit their rate; nullopt
/// otherwise, or if that is not known.
std::optional<milliseconds> timeUntilAdmission(const endpoint_list &Endpoints,
                                               steady_time Now);
/// Ends an ejection: the failures had another cause than the endpoint.
void endEjection(endpoint_record &Endpoint, steady_time Now);
/// Records a truncated or missing response. Returns whether it starts a new
/// crash: all requests on an endpoint that crashes fail together.
bool recordCrash(endpoint_record &Endpoint, steady_time Now);

} // namespace azurehaven
