#pragma once

#include "LibRelay/endpoint_attempt.h"
#include "LibRelay/request_placement.h"

namespace azurehaven {

/// Where the next attempt of a request goes.
struct attempt_place {
  attempt_target Kind = attempt_target::Endpoint;
  /// Null if no endpoint, and no VM, takes the request now.
  std::shared_ptr<endpoint_record> Endpoint;
  /// How an endpoint was selected; unset for a VM.
  request_placement Placement;
};

/// Selects the endpoints and VMs of one request's attempts, each once.
class attempt_targets {
public:
  attempt_targets(relay_context &Context, const admitted_request &Admitted)
      : Context(Context), Admitted(Admitted) {}

  /// Prefers another VM while this one has lost its path to the service.
  /// ModelIndex: as in placeRequest().
  attempt_place select(std::optional<std::size_t> ModelIndex,
                       steady_time Now) const;
  void markTried(const attempt_place &Place);
  /// Lets the next attempt go to the endpoint again.
  void allowAgain(const endpoint_id &Endpoint) { Tried.erase(Endpoint); }

private:
  /// The VM that serves the request on behalf of this one, which has lost its
  /// path to the service; null if there is none or need not be one.
  std::shared_ptr<endpoint_record> selectPeer(steady_time Now) const;

  relay_context &Context;
  const admitted_request &Admitted;
  std::set<endpoint_id> Tried;
  std::set<endpoint_id> TriedPeers;
};

} // namespace azurehaven
