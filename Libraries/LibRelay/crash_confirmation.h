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

/// An endpoint has stopped work on a closed connection within this time. If it
/// ends later, an attempt that was abandoned is not to blame.
constexpr milliseconds AbandonedWorkTime{1000};

/// Settles the attempts that were neither complete nor cut off by their
/// endpoints. One counts as a crash once its process start is known to have
/// ended: at the end of other connections to it, by its successor or by its
/// entry. It is dropped once something has come from the process start, later
/// than AbandonedWorkTime if the attempt was abandoned; if the path is lost; or
/// if neither is known after some seconds. Asks silent engines meanwhile. To be
/// called several times a second.
void confirmCrashes(relay_context &Context, registry_state Registry,
                    steady_time Now);

} // namespace azurehaven
