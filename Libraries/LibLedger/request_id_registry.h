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

/// Which body the request ids of the client accounts stand for, as far as this
/// VM has served them or peers have told. Thread-safe (lock_rank::Claims).
class request_id_registry {
public:
  /// Whether the id is free for this body or stands for it already. Every call
  /// that returned true is followed by one of endRequest().
  bool beginRequest(const request_body_notice &Request, steady_time Now);
  /// From here on the id stands for this body, here and on the peers.
  void markSent(const request_body_notice &Request);
  /// Frees the id if none of its requests was sent.
  void endRequest(const request_body_notice &Request);

  /// Takes over what a peer has served.
  void merge(const request_body_notice &Notice, steady_time Now);
  /// What the next heartbeat tells the peers.
  std::vector<request_body_notice> takeNotices();

  std::size_t size();

private:
  struct entry {
    std::uint64_t Body = 0;
    steady_time At;
    std::size_t Running = 0;
    bool IsSent = false;
  };
  struct outgoing_notice {
    request_body_notice Notice;
    std::size_t SendsLeft;
  };

  entry &add(const request_body_notice &Notice, steady_time Now);
  void forgetOld(steady_time Now);

  ranked_mutex Mutex{lock_rank::Claims};
  std::map<std::uint64_t, entry> Entries;
  /// When each entry was added, oldest first.
  std::deque<std::pair<steady_time, std::uint64_t>> Order;
  std::deque<outgoing_notice> Outgoing;
};

/// The notice for a request id of an account and the body sent under it.
request_body_notice makeRequestBodyNotice(const client_account_id &Account,
                                          const request_id &Request,
                                          std::uint64_t BodyFingerprint);

} // namespace azurehaven
