#pragma once

#include "LibDispatch/dispatch_request.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace azurehaven {

/// Identifies a prompt segment: the hash of its id.
using segment_key = std::uint64_t;

/// The segments that a request's prompt shares with other requests: all but the
/// last.
std::vector<segment_key> sharedSegments(const dispatch_request &Request);

/// Finds the prompt segment under which endpoints crash as soon as they begin
/// to respond, and quarantines it. Each segment of a request in a crash is a
/// suspect until a response to a prompt with it makes progress. Of several
/// suspects, the one that explains the crashes of the others is quarantined;
/// those that were in the same crashes only together, so that requests with
/// some of them are still served. Not thread-safe.
class prompt_quarantine {
public:
  struct crash_record {
    segment_key Segment = 0;
    /// Includes the incarnation: each process start counts separately.
    endpoint_id Endpoint;
  };

  /// Records a crash that this VM observed under a request with these segments,
  /// and queues it for the other VMs.
  void addLocal(const std::vector<segment_key> &Segments,
                const endpoint_id &Endpoint, steady_time Now);
  /// Records a crash that another VM observed.
  void merge(const crash_record &Record, steady_time Now);
  /// Clears the segments of a request whose response makes progress. What other
  /// VMs may suspect is queued for them.
  void clearLocal(const std::vector<segment_key> &Segments, steady_time Now);
  /// Clears a segment that another VM has cleared.
  void mergeCleared(segment_key Segment, steady_time Now);

  bool isQuarantined(const std::vector<segment_key> &Segments) const;
  /// Number of segments, or groups of them, that are quarantined.
  std::size_t quarantinedCount() const { return Groups.size(); }

  /// Forgets the local crashes that the other VMs have not been told of yet:
  /// they had another cause.
  void withdrawUnsent();
  /// The records for the other VMs; clears the queue.
  std::vector<crash_record> takeUnsentCrashes();
  std::vector<segment_key> takeUnsentCleared();
  /// Forgets crashes and clearances that are long past.
  void expire(steady_time Now);

private:
  struct suspect {
    std::set<endpoint_id> Endpoints;
    steady_time LastCrashAt;
  };
  using suspect_map = std::map<segment_key, suspect>;

  /// Distinct endpoints for which the segment is quarantined.
  std::size_t thresholdOf(segment_key Segment) const;
  bool isSufficient(const suspect_map::value_type &Suspect) const;
  /// Whether the suspect is the more likely cause of crashes under both.
  bool isMoreLikely(const suspect_map::value_type &Suspect,
                    const suspect_map::value_type &Other) const;
  /// Whether the other suspect, which is in enough crashes, is more likely, and
  /// too few crashes remain that it does not explain.
  bool isExplainedBy(const suspect_map::value_type &Suspect,
                     const suspect_map::value_type &Other) const;
  void clear(segment_key Segment, steady_time Now);
  void updateGroups();

  suspect_map Suspects;
  /// Segments of responses that made progress, and when.
  std::unordered_map<segment_key, steady_time> Cleared;
  /// A request with all segments of a group is refused.
  std::vector<std::vector<segment_key>> Groups;
  std::vector<crash_record> UnsentCrashes;
  std::vector<segment_key> UnsentCleared;
};

} // namespace azurehaven
