#pragma once

#include "LibPeer/peer_message.h"
#include "LibTypes/ranked_mutex.h"

#include <map>
#include <optional>
#include <set>

namespace azurehaven {

/// How long a confirmation by the store or a vote of a peer remains valid.
constexpr milliseconds ConfirmationLifetime{3000};

/// A peer's configuration version and eligibility, from its latest response.
struct peer_vote {
  std::uint64_t Version = 0;
  bool MayVote = false;
  /// When the request was sent; the response describes a later state.
  steady_time RequestedAt;
};

/// Decides whether this VM's configuration is the newest accepted one. It is if
/// the store confirmed the version within ConfirmationLifetime, to this VM or
/// to a peer, or if a majority of the roster reports no newer version. A change
/// is accepted only once a majority holds it, and any two majorities intersect.
/// A restarted VM has lost its configuration, so that it may vote only after it
/// has recovered one from the store or from a majority of the roster.
/// Source: Liskov and Cowling, "Viewstamped Replication Revisited", 2012,
/// sections 4.1 (quorum intersection) and 4.3 (recovery).
/// Thread-safe (lock_rank::Configuration, never held together with the mutex of
/// configuration_holder).
class configuration_freshness {
public:
  explicit configuration_freshness(vm_id Self);

  /// Records that Version was the store's newest at RequestedAt or later.
  void recordStoreConfirmation(std::uint64_t Version, steady_time RequestedAt);
  /// Records a peer's response to a request sent at RequestedAt.
  void recordPeerResponse(const vm_id &Peer, const heartbeat &Response,
                          steady_time RequestedAt);

  /// Whether no version newer than Version was accepted. Also marks this VM as
  /// recovered once it holds a version confirmed by the store or by peers.
  bool isCurrent(std::uint64_t Version, const std::set<vm_id> &Roster,
                 steady_time Now);
  /// Whether this VM's responses may count towards a majority.
  bool mayVote() const;
  /// Age and version of the store's latest confirmation, unless it has expired.
  std::optional<std::pair<milliseconds, std::uint64_t>>
  storeConfirmation(steady_time Now) const;
  /// Whether a majority of the roster, this VM included, holds Version.
  bool isHeldByMajority(std::uint64_t Version, const std::set<vm_id> &Roster,
                        steady_time Now) const;

private:
  /// Whether a majority of the roster, without this VM, may vote and holds no
  /// version newer than Version.
  bool canRecoverFromPeers(std::uint64_t Version, const std::set<vm_id> &Roster,
                           steady_time Now) const;
  bool isFresh(steady_time RequestedAt, steady_time Now) const {
    return Now - RequestedAt <= ConfirmationLifetime;
  }

  const vm_id Self;
  mutable ranked_mutex Mutex{lock_rank::Configuration};
  std::optional<steady_time> ConfirmedAt;
  std::uint64_t ConfirmedVersion = 0;
  bool HasRecovered = false;
  std::map<vm_id, peer_vote> PeerVotes;
};

} // namespace azurehaven
