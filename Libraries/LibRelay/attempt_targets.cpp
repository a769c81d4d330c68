#include "LibRelay/attempt_targets.h"

namespace azurehaven {

namespace {

/// VMs that one request is forwarded to.
constexpr std::size_t MaxForwardingPeers = 2;

} // namespace

attempt_place attempt_targets::select(std::optional<std::size_t> ModelIndex,
                                      steady_time Now) const {
  attempt_place Place;
  if (auto Peer = selectPeer(Now)) {
    Place.Kind = attempt_target::Vm;
    Place.Endpoint = std::move(Peer);
    return Place;
  }
  // What peers have refused is not tried over a lost path.
  const bool IsRefusedByPeers =
      !TriedPeers.empty() && Context.Fleet.Paths.isLost(Admitted.Service);
  if (IsRefusedByPeers)
    return Place;
  Place.Placement =
      placeRequest(Context.Fleet, Admitted, Tried, ModelIndex, Now);
  Place.Endpoint = Place.Placement.Endpoint;
  return Place;
}

void attempt_targets::markTried(const attempt_place &Place) {
  auto &Ids = Place.Kind == attempt_target::Vm ? TriedPeers : Tried;
  Ids.insert(Place.Endpoint->Descriptor.Id);
}

std::shared_ptr<endpoint_record>
attempt_targets::selectPeer(steady_time Now) const {
  const bool MayForward = Context.Fleet.Paths.isLost(Admitted.Service) &&
                          !Admitted.Request.Origin &&
                          TriedPeers.size() < MaxForwardingPeers;
  if (!MayForward)
    return nullptr;
  return Context.ForwardingPeers.select(Context.Fleet, Admitted.Service,
                                        TriedPeers, Now);
}

} // namespace azurehaven
