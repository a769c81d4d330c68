#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/route_table.h"

#include <cstddef>
#include <optional>

namespace azurehaven {

/// Decides which size of model answers a request whose caller leaves it open.
/// Small models answer first; an answer that its own model doubts is dropped
/// before the caller has received any of it, and a larger model is asked. Made
/// for engines that can't ask the largest model for all: the more work waits on
/// them, the more doubt is accepted.
/// Not thread-safe.
class model_cascade {
public:
  /// The place in Route.ModelsBySize of the model that answers first.
  std::size_t firstModel(const route &Route,
                         const dispatch_request &Request) const;
  /// Work of one prompt token on the route's model, 1 for the smallest one.
  double workPerToken(const route &Route, std::size_t Model) const;
  /// The place of a larger model that is to answer instead, or nullopt if this
  /// answer is good enough. Confidence is the model's own opinion, 0 to 100;
  /// Backlog the time that the prompts waiting on an engine take on average.
  std::optional<std::size_t> escalate(const route &Route,
                                      const dispatch_request &Request,
                                      std::size_t Model, int Confidence,
                                      milliseconds Backlog) const;
};

} // namespace azurehaven
