#pragma once

#include "Soak/promise_check.h"

#include <functional>

namespace azurehaven::platform {

/// How long after its end a fault may still have effects: connections that it
/// broke, leases that expired during it, and the duration of a planned stop.
constexpr milliseconds FaultEffectTime{8000};

using fault_predicate = std::function<bool(const fault_interval &)>;

std::string describe(const caller_record &Record);
/// Whether such a fault was active, or had ended less than EffectTime before.
bool hasOverlappingFault(const soak_history &History, steady_time From,
                         steady_time To, const fault_predicate &Matches,
                         milliseconds EffectTime = FaultEffectTime);
std::size_t runCount(const soak_history &History, const request_id &Id);
/// The fault target of the endpoint with this instance id.
std::string targetOf(const std::string &Instance);
/// The part of this time in which the endpoint did not stand still.
steady_time::duration awakeTime(const soak_history &History,
                                const std::string &Instance, steady_time From,
                                steady_time To);
/// When the run would have started if its endpoint had not stood still after
/// the request was sent.
steady_time startWithoutStandstill(const soak_history &History,
                                   const request_id &Id,
                                   const endpoint_run &Run);
/// Whether the VM that got the request ran the earlier build, whose faults are
/// not those of the build under test.
bool wasSentToPreviousBuild(const soak_history &History,
                            const caller_record &Record);

} // namespace azurehaven::platform
