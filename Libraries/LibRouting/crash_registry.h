#pragma once

#include "LibMembership/gossip_buffer.h"
#include "LibPeer/peer_message.h"

#include <map>
#include <set>
#include <utility>

namespace azurehaven {

enum class crash_status {
  Clear,
  /// Was running on one endpoint that broke down: runs apart from others.
  Suspect,
  /// Broke down two endpoints: never runs again.
  Refused,
};

/// Fingerprints of requests that were running when an endpoint broke down,
/// shared among the VMs. Not thread-safe.
class crash_registry {
public:
  crash_registry();

  /// Records one breakdown, seen here or told by a peer; returns whether it
  /// was news.
  bool add(const crash_notice &Notice);
  crash_status statusOf(std::uint64_t Fingerprint) const;
  std::vector<crash_notice> takeNotices();
  /// How many fingerprints are refused.
  std::size_t refusedCount() const;

private:
  using notice_key = std::pair<std::uint64_t, endpoint_id>;

  std::map<std::uint64_t, std::set<endpoint_id>> CrashedEndpoints;
  /// Oldest first, for the bound on memory.
  std::vector<std::uint64_t> InsertionOrder;
  gossip_buffer<notice_key, crash_notice> Notices;
};

/// The fingerprint of a request for this purpose: the account and the body,
/// whatever id a resend carries.
std::uint64_t crashFingerprint(const client_account_id &Account,
                               const std::string &Body);

} // namespace azurehaven
