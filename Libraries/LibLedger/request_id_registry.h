#pragma once

#include "LibPeer/peer_message.h"
#include "LibTypes/ids.h"
#include "LibTypes/ranked_mutex.h"
#include "LibTypes/units.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace azurehaven {

/// Maps recent request ids of the client accounts to the body that was sent
/// under them, on this VM or on a peer, to detect an id that is reused for
/// another body. Thread-safe (lock_rank::Claims).
class request_id_registry {
public:
  /// Returns false if the id is in use for another body. Each call that
  /// returned true must be followed by one call of endRequest().
  bool beginRequest(const request_body_notice &Request, steady_time Now);
  /// Binds the id to this body beyond the end of the request, and queues a
  /// notice to the peers.
  void markSent(const request_body_notice &Request);
  /// Ends a request that was begun. Frees the id if no other request with it is
  /// running and none was sent.
  void endRequest(const request_body_notice &Request);

  /// Applies a notice from a peer. An entry that exists keeps its body.
  void merge(const request_body_notice &Notice, steady_time Now);
  /// Takes the notices for the next heartbeat to the peers.
  std::vector<request_body_notice> takeNotices();

  std::size_t size();

private:
  struct entry {
    std::uint64_t BodyFingerprint = 0;
    steady_time AddedAt;
    std::size_t RunningRequests = 0;
    bool IsSent = false;
  };
  struct outgoing_notice {
    request_body_notice Notice;
    std::size_t SendsLeft;
  };

  /// Returns the entry of the id, which is added if there is none.
  entry &findOrAdd(const request_body_notice &Notice, steady_time Now);
  void removeExpired(steady_time Now);

  ranked_mutex Mutex{lock_rank::Claims};
  /// By the hash of account and request id.
  std::map<std::uint64_t, entry> Entries;
  /// Time at which each entry was added and its key, oldest first.
  std::deque<std::pair<steady_time, std::uint64_t>> AdditionOrder;
  std::deque<outgoing_notice> Outgoing;
};

/// Makes the notice that the body is used under the account's request id.
request_body_notice makeRequestBodyNotice(const client_account_id &Account,
                                          const request_id &Request,
                                          std::uint64_t BodyFingerprint);

} // namespace azurehaven
