#pragma once

#include "LibRelay/fleet_state.h"

namespace azurehaven {

/// Sets the part that this VM may use of the rate that the endpoint accepts
/// from all VMs together, by the present members.
void updateRateShare(const fleet_state &Fleet, endpoint_record &Endpoint,
                     steady_time Now);
/// The same for all endpoints.
void updateRateShares(const fleet_state &Fleet, steady_time Now);

} // namespace azurehaven
