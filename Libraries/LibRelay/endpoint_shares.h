#pragma once

#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// Number of VMs, including this one if it has not been listed yet.
std::size_t vmCount(const fleet_state &Fleet);
/// Sets the part that this VM may use of the rate that the endpoint accepts
/// from all VMs together, by the present members.
void updateRateShare(const fleet_state &Fleet, endpoint_record &Endpoint,
                     steady_time Now);
/// Sets which brittle endpoints this VM uses, and how many of its requests each
/// of them may have to reject, by the present members and endpoints.
void updateBrittleQuotas(const fleet_state &Fleet);
/// Sets both for all endpoints.
void updateShares(const fleet_state &Fleet, steady_time Now);

} // namespace azurehaven
