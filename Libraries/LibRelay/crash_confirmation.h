#pragma once

#include "LibRelay/relay.h"

namespace azurehaven {

/// Whether the registry tells which endpoints are listed now.
enum class registry_state {
  Current,
  /// The store is away, or this process stood still, so that entries which were
  /// written since may not have been read yet.
  MayBeOutdated,
};

/// Settles the crashes that only silence tells of: one counts once its process
/// start is known to have ended, and is dropped once something comes from that
/// or the path is lost, or if neither is known after some seconds. Asks silent
/// engines meanwhile. To be called several times a second.
void confirmCrashes(relay_context &Context, registry_state Registry,
                    steady_time Now);

} // namespace azurehaven
