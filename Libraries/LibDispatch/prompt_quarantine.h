#pragma once

#include "LibDispatch/crash_records.h"
#include "LibDispatch/crash_sequence.h"
#include "LibDispatch/dispatch_request.h"

#include <map>
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
/// suspect until a response to a prompt with it makes progress. Crashes before
/// the response had begun count if they came one after the other, as whatever
/// ends many endpoints at once ends the requests that wait on them. Of several
/// suspects, the one that explains the crashes of the others is quarantined;
/// those that were in the same crashes only together, so that requests with
/// some of them are still served. Not thread-safe.
class prompt_quarantine {
public:
  /// Records a crash that this VM observed under a request with these
  /// segments.
  void addLocal(const std::vector<segment_key> &Segments,
                const endpoint_id &Endpoint, crash_time Crash);
  /// Records what another VM knows of a segment. Returns whether it is news.
  bool merge(const crash_record &Record, steady_time Now) {
    return mergeAll({Record}, Now) > 0;
  }
  /// The same for several records; returns how many are news.
  std::size_t mergeAll(const std::vector<crash_record> &New, steady_time Now);
  /// Clears the segments of a request whose response makes progress.
  void clearLocal(const std::vector<segment_key> &Segments, steady_time Now);
  /// Clears a segment that another VM has cleared.
  void mergeCleared(segment_key Segment, steady_time Now);

  bool isQuarantined(const std::vector<segment_key> &Segments) const;
  /// Crashes under the segment that count against it.
  std::size_t independentCrashes(segment_key Segment) const;
  /// Number of segments, or groups of them, that are quarantined.
  std::size_t quarantinedCount() const { return Groups.size(); }

  /// Records that a process start is alive after its alleged crash. Returns
  /// whether that is news.
  bool refuteEndpoint(const endpoint_id &Endpoint, steady_time Now);
  const crash_records &records() const { return Records; }
  /// What changed by observations of this VM since the last call.
  std::vector<crash_record> takeNews() { return Records.takeNews(); }
  /// The suspected segments that this VM has cleared since the last call.
  std::vector<segment_key> takeNewlyCleared() {
    return std::exchange(NewlyCleared, {});
  }
  /// Forgets crashes and clearances that are long past.
  void expire(steady_time Now);

private:
  struct suspect {
    std::map<endpoint_id, crash_time> Crashes;
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
  /// Returns false for a segment that there is no room for.
  bool isAdmitted(segment_key Segment) const;
  void clear(segment_key Segment, steady_time Now);
  bool mergeOne(const crash_record &Record, steady_time Now);
  void remember(segment_key Segment, steady_time Now);
  suspect_map suspects(steady_time Now) const;
  /// In order.
  static std::vector<endpoint_id>
  endpointsOf(const suspect_map::value_type &Suspect);
  void updateGroups(steady_time Now);

  crash_records Records;
  /// Segments of responses that made progress, and when.
  std::unordered_map<segment_key, steady_time> Cleared;
  /// A request with all segments of a group is refused.
  std::vector<std::vector<segment_key>> Groups;
  std::vector<segment_key> NewlyCleared;
};

} // namespace azurehaven
