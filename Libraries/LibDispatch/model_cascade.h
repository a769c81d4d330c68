#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/route_table.h"

#include <cstddef>
#include <optional>

namespace azurehaven {

/// Selects the model for requests whose caller accepts any. The smallest model
/// responds first; if its reported confidence is too low, its response is
/// discarded before any of it reaches the caller, and the largest model
/// responds instead. The confidence threshold falls as the backlog grows,
/// because the engines lack the capacity to run the largest model for every
/// request. A request that must not run twice gets the response of its first
/// model, which is the largest one unless the backlog is too long for it. Not
/// thread-safe.
class model_cascade {
public:
  /// Index in Route.ModelsBySize of the model that responds first. Backlog: see
  /// escalate().
  std::size_t firstModel(const route &Route, milliseconds Backlog) const;
  /// Relative work of one prompt token on the route's model; 1 for the
  /// smallest.
  double workPerToken(const route &Route, std::size_t Model) const;
  /// Index of the larger model that has to respond instead, or nullopt if this
  /// response is accepted. Confidence is reported by the model, 0 to 100;
  /// Backlog is the mean time that an engine needs for its pending prompts.
  std::optional<std::size_t> escalate(const route &Route,
                                      const dispatch_request &Request,
                                      std::size_t Model, int Confidence,
                                      milliseconds Backlog) const;
};

} // namespace azurehaven
