#pragma once

#include "LibDispatch/endpoint_registry.h"
#include "LibDispatch/observed_crash.h"
#include "LibRollout/release_statistics.h"

#include <memory>
#include <optional>

namespace azurehaven {

/// An attempt that was neither complete nor cut off by its endpoint, so that
/// only what comes later tells whether the endpoint crashed under it.
struct unconfirmed_crash {
  observed_crash Observed;
  /// The process start that had the request.
  endpoint_start Start;
  network_address Address;
  /// Its record; null if it was not listed any more.
  std::shared_ptr<endpoint_record> Endpoint;
  /// Whether it has said that it is leaving.
  bool IsLeaving = false;
  /// The release of which this is a failed attempt unless the endpoint goes on;
  /// nullopt if that is counted already.
  std::optional<release_key> FailedRelease{};
  /// Since when it has not been listed.
  std::optional<steady_time> UnlistedSince{};
};

} // namespace azurehaven
