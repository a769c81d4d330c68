#pragma once

#include "LibRelay/relay.h"

namespace azurehaven {

/// Remembers that a process start is said to have crashed, so that a sign of
/// life refutes it.
void recordAllegedCrash(fleet_state &Fleet, const endpoint_id &ProcessStart,
                        steady_time At);

/// Refutes the endpoint's alleged crash, on all VMs, if this response shows
/// that its process lived on. ConnectionCreatedAt and SentAt are those of the
/// response's connection and request.
void refuteAllegedCrash(relay_context &Context, endpoint_record &Endpoint,
                        steady_time ConnectionCreatedAt, steady_time SentAt,
                        steady_time Now);

} // namespace azurehaven
