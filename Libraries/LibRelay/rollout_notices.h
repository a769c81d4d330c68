#pragma once

#include "LibPeer/peer_message.h"
#include "LibRollout/rollout_agreement.h"

namespace azurehaven {

/// The state of a roll-out as it is told to the other VMs, and back.
rollout_notice noticeOf(const service_id &Service, const rollout_state &State);
rollout_state rolloutStateOf(const rollout_notice &Notice);

} // namespace azurehaven
