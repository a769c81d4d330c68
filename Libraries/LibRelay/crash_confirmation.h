#pragma once

#include "LibRelay/relay.h"

namespace azurehaven {

/// Settles the crashes that only silence tells of: one counts once its process
/// start is known to have ended, and is dropped once something comes from that
/// or the path is lost, or if neither is known after some seconds. Asks silent
/// engines meanwhile. To be called several times a second.
void confirmCrashes(relay_context &Context, steady_time Now);

} // namespace azurehaven
