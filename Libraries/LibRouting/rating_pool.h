#pragma once

#include "LibMembership/gossip_buffer.h"
#include "LibPeer/peer_message.h"
#include "LibPeer/rating_counts.h"

#include <map>
#include <optional>
#include <tuple>

namespace azurehaven {

/// One version in one class of work.
struct version_class {
  version_id Version;
  class_id Class;

  auto operator<=>(const version_class &) const =
      default; // NOLINT(readability-identifier-naming)
};

/// Ratings and outcomes of all VMs, merged without double counting: the counts
/// of an origin only grow, so that the larger notice replaces the smaller one.
/// Source: Shapiro et al., "Conflict-free replicated data types", 2011
/// (grow-only counter). Not thread-safe.
class rating_pool {
public:
  rating_pool(vm_id Self, std::uint64_t Incarnation);

  void addLocalCounts(const version_class &Key, std::size_t Bucket,
                      const rating_counts &Added);
  /// Merges a peer's notice; returns the counts that it adds, or nullopt if it
  /// adds none or is not valid.
  std::optional<bucket_counts> mergeNotice(const rating_notice &Notice);

  const bucket_counts &pooledCounts(const version_class &Key) const;
  /// Notices to piggyback on the next heartbeat.
  std::vector<rating_notice> takeNotices();
  std::size_t noticeCount() const { return Notices.size(); }

private:
  using notice_key = std::tuple<vm_id, std::uint64_t, version_class>;

  const vm_id Self;
  const std::uint64_t Incarnation;
  std::map<version_class, bucket_counts> PooledCounts;
  gossip_buffer<notice_key, rating_notice> Notices;
};

} // namespace azurehaven
