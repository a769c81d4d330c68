#pragma once

#include "LibPeer/peer_message.h"
#include "LibTypes/ranked_mutex.h"

#include <map>
#include <optional>
#include <set>

namespace azurehaven {

/// How long one confirmation that a version is the newest stays good.
constexpr milliseconds ConfirmationLifetime{3000};

/// What one peer said in its latest answer.
struct peer_vote {
  std::uint64_t Version = 0;
  bool MayVote = false;
  /// When the question was sent; the answer is at least as fresh.
  steady_time RequestedAt;
};

/// Decides whether this VM knows that no newer configuration was accepted: the
/// store confirmed its version lately (to it or to a peer), or a majority of
/// the roster vouches that it knows none. A change counts as accepted only
/// once a majority holds it, and any two majorities intersect.
/// A restarted VM has forgotten what it held, so that it may vouch only after
/// the store or a majority of the others has informed it.
/// Source: Liskov and Cowling, "Viewstamped Replication Revisited", 2012,
/// sections 4.1 (quorum intersection) and 4.3 (recovery).
/// Thread-safe (lock_rank::Configuration, never held with the holder's).
class configuration_freshness {
public:
  explicit configuration_freshness(vm_id Self);

  /// The store had Version as its newest when asked at RequestedAt.
  void recordStoreConfirmation(std::uint64_t Version, steady_time RequestedAt);
  /// A peer answered a question that was sent at RequestedAt.
  void recordPeerResponse(const vm_id &Peer, const heartbeat &Response,
                          steady_time RequestedAt);

  bool isCurrent(std::uint64_t Version, const std::set<vm_id> &Roster,
                 steady_time Now);
  /// Whether this VM's answers may count towards a majority.
  bool mayVote() const;
  /// Age of the latest confirmation by the store, and of which version.
  std::optional<std::pair<milliseconds, std::uint64_t>>
  storeConfirmation(steady_time Now) const;
  /// Whether a majority of the roster, this VM included, holds Version.
  bool isHeldByMajority(std::uint64_t Version, const std::set<vm_id> &Roster,
                        steady_time Now) const;

private:
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
