#pragma once

#include "LibLog/event_log.h"
#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// Tells the quarantines of a crash. Evidence: a short constant for the log
/// that says how it is known.
void countCrash(fleet_state &Fleet, const event_log &Log,
                const observed_crash &Crash, const char *Evidence);

/// Logs why an attempt without a valid response is no crash of the endpoint.
void logUncountedCrash(const event_log &Log, const request_id &Request,
                       const endpoint_id &ProcessStart, const char *Reason);

} // namespace azurehaven
