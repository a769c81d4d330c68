#include "LibControl/configuration_freshness.h"

#include <algorithm>

namespace azurehaven {

namespace {

std::size_t majoritySize(const std::set<vm_id> &Roster) {
  return Roster.size() / 2 + 1;
}

} // namespace

configuration_freshness::configuration_freshness(vm_id Self)
    : Self(std::move(Self)) {}

void configuration_freshness::recordStoreConfirmation(std::uint64_t Version,
                                                      steady_time RequestedAt) {
  std::lock_guard Lock(Mutex);
  if (ConfirmedAt &&
      (Version < ConfirmedVersion || RequestedAt <= *ConfirmedAt))
    return;
  ConfirmedAt = RequestedAt;
  ConfirmedVersion = Version;
}

void configuration_freshness::recordPeerResponse(const vm_id &Peer,
                                                 const heartbeat &Response,
                                                 steady_time RequestedAt) {
  // Peers forward the store's confirmation. The peer responded after
  // RequestedAt, so the store confirmed no earlier than RequestedAt minus the
  // reported age. This compares no clocks of different VMs.
  if (Response.ConfirmationAge)
    recordStoreConfirmation(Response.ConfirmedVersion,
                            RequestedAt - *Response.ConfirmationAge);
  std::lock_guard Lock(Mutex);
  peer_vote &Vote = PeerVotes[Peer];
  if (Vote.RequestedAt > RequestedAt)
    return;
  Vote = {Response.ConfigVersion, Response.MayVote, RequestedAt};
}

bool configuration_freshness::isCurrent(std::uint64_t Version,
                                        const std::set<vm_id> &Roster,
                                        steady_time Now) {
  std::lock_guard Lock(Mutex);
  if (ConfirmedAt && ConfirmedVersion <= Version &&
      isFresh(*ConfirmedAt, Now)) {
    // This VM holds the confirmed version or a newer one, which completes its
    // recovery. A confirmation of a version that it does not hold yet would
    // not.
    HasRecovered = true;
    return true;
  }
  if (Roster.empty())
    return false;
  if (!HasRecovered) {
    if (!canRecoverFromPeers(Version, Roster, Now))
      return false;
    HasRecovered = true;
  }
  std::size_t Count = Roster.contains(Self) ? 1 : 0;
  for (const auto &[Vm, Vote] : PeerVotes)
    if (Vm != Self && Roster.contains(Vm) && Vote.MayVote &&
        Vote.Version <= Version && isFresh(Vote.RequestedAt, Now))
      ++Count;
  return Count >= majoritySize(Roster);
}

bool configuration_freshness::canRecoverFromPeers(std::uint64_t Version,
                                                  const std::set<vm_id> &Roster,
                                                  steady_time Now) const {
  std::size_t Count = 0;
  for (const auto &[Vm, Vote] : PeerVotes) {
    if (!Roster.contains(Vm) || !Vote.MayVote ||
        !isFresh(Vote.RequestedAt, Now))
      continue;
    if (Vote.Version > Version)
      return false;
    ++Count;
  }
  return Count >= majoritySize(Roster);
}

bool configuration_freshness::mayVote() const {
  std::lock_guard Lock(Mutex);
  return HasRecovered;
}

std::optional<std::pair<milliseconds, std::uint64_t>>
configuration_freshness::storeConfirmation(steady_time Now) const {
  std::lock_guard Lock(Mutex);
  if (!ConfirmedAt || !isFresh(*ConfirmedAt, Now))
    return std::nullopt;
  // Rounds up, since an understated age would extend the confirmation's
  // lifetime.
  auto Age = std::chrono::ceil<milliseconds>(Now - *ConfirmedAt);
  return std::pair(Age, ConfirmedVersion);
}

bool configuration_freshness::isHeldByMajority(std::uint64_t Version,
                                               const std::set<vm_id> &Roster,
                                               steady_time Now) const {
  // Until the first VM is added to the roster, as in the initial configuration,
  // there is no majority that must hold a version.
  if (Roster.empty())
    return true;
  std::lock_guard Lock(Mutex);
  std::size_t Count = Roster.contains(Self) ? 1 : 0;
  for (const auto &[Vm, Vote] : PeerVotes)
    if (Vm != Self && Roster.contains(Vm) && Vote.MayVote &&
        Vote.Version >= Version && isFresh(Vote.RequestedAt, Now))
      ++Count;
  return Count >= majoritySize(Roster);
}

} // namespace azurehaven
