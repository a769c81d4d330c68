#pragma once

#include "LibMembership/gossip_buffer.h"
#include "LibPeer/peer_message.h"

#include <map>
#include <set>
#include <utility>

namespace azurehaven {

enum class crash_status {
  Clear,
  /// Was running on one endpoint that crashed: never shares an endpoint with
  /// another suspect request.
  Suspect,
  /// Was running on two endpoints that crashed: never runs again.
  Refused,
};

/// Fingerprints of requests that were running when an endpoint crashed,
/// replicated among the VMs. Not thread-safe.
class crash_registry {
public:
  crash_registry();

  /// Records a crash that this VM detected or a peer reported; returns whether
  /// it was new.
  bool add(const crash_notice &Notice);
  crash_status statusOf(std::uint64_t Fingerprint) const;
  /// Notices to piggyback on the next heartbeat.
  std::vector<crash_notice> takeNotices();
  /// Number of fingerprints with the status Refused.
  std::size_t refusedCount() const;

private:
  using notice_key = std::pair<std::uint64_t, endpoint_id>;

  std::map<std::uint64_t, std::set<endpoint_id>> CrashedEndpoints;
  /// Oldest first; the oldest fingerprint is evicted at the limit.
  std::vector<std::uint64_t> InsertionOrder;
  gossip_buffer<notice_key, crash_notice> Notices;
};

/// Fingerprint of the account and the body, so that a resend under another
/// request id has the same one.
std::uint64_t crashFingerprint(const client_account_id &Account,
                               const std::string &Body);

} // namespace azurehaven
