#include "LibDispatch/prompt_quarantine.h"

#include "LibTypes/fingerprint.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Distinct endpoints that must have crashed: a crash may be coincidence, as
/// other requests run on the endpoint.
constexpr std::size_t QuarantineThreshold = 3;
/// The same for a segment of a response that made progress before.
constexpr std::size_t ClearedSegmentThreshold = 5;
/// How long a segment is quarantined that had been sound before. It may be
/// shared by many requests, and nothing else clears it.
constexpr std::chrono::seconds ClearedSegmentRetention{60};
/// Bounds of the memory that callers can make this VM use.
constexpr std::size_t MaximumCleared = 65536;

} // namespace

std::vector<segment_key> sharedSegments(const dispatch_request &Request) {
  std::vector<segment_key> Keys;
  for (std::size_t Index = 0; Index + 1 < Request.Prompt.size(); ++Index)
    Keys.push_back(fingerprintOf(Request.Prompt[Index].Id));
  return Keys;
}

bool prompt_quarantine::isAdmitted(segment_key Segment) const {
  return Records.hasRoom() || Records.endpointCount(Segment) > 0;
}

void prompt_quarantine::addLocal(const std::vector<segment_key> &Segments,
                                 const endpoint_id &Endpoint,
                                 crash_time Crash) {
  // Most segments of requests on an endpoint that crashes were in no other
  // crash.
  bool MayQuarantine = false;
  for (const segment_key Segment : Segments) {
    const crash_record Record{Segment, Endpoint, Crash.At,
                              crash_refutation::None, Crash.CoincidenceTime};
    if (isAdmitted(Segment) && Records.add(Record, Crash.At))
      MayQuarantine |= Records.endpointCount(Segment) >= QuarantineThreshold;
  }
  if (MayQuarantine)
    updateGroups(Crash.At);
}

bool prompt_quarantine::mergeOne(const crash_record &Record, steady_time Now) {
  if (!isAdmitted(Record.Fingerprint) || !Records.merge(Record, Now))
    return false;
  if (Record.Refutation == crash_refutation::SoundResponse)
    remember(Record.Fingerprint, Now);
  return true;
}

std::size_t prompt_quarantine::mergeAll(const std::vector<crash_record> &New,
                                        steady_time Now) {
  std::size_t NewsCount = 0;
  for (const crash_record &Record : New)
    NewsCount += mergeOne(Record, Now);
  if (NewsCount > 0)
    updateGroups(Now);
  return NewsCount;
}

void prompt_quarantine::remember(segment_key Segment, steady_time Now) {
  if (Cleared.size() < MaximumCleared || Cleared.contains(Segment))
    Cleared[Segment] = Now;
}

void prompt_quarantine::clear(segment_key Segment, steady_time Now) {
  remember(Segment, Now);
  if (!Records.refuteFingerprint(Segment))
    return;
  NewlyCleared.push_back(Segment);
  if (!Groups.empty())
    updateGroups(Now);
}

void prompt_quarantine::clearLocal(const std::vector<segment_key> &Segments,
                                   steady_time Now) {
  for (const segment_key Segment : Segments)
    clear(Segment, Now);
}

void prompt_quarantine::mergeCleared(segment_key Segment, steady_time Now) {
  clear(Segment, Now);
}

bool prompt_quarantine::refuteEndpoint(const endpoint_id &Endpoint,
                                       steady_time Now) {
  if (!Records.refuteEndpoint(Endpoint))
    return false;
  updateGroups(Now);
  return true;
}

std::size_t prompt_quarantine::thresholdOf(segment_key Segment) const {
  return Cleared.contains(Segment) ? ClearedSegmentThreshold
                                   : QuarantineThreshold;
}

bool prompt_quarantine::isMoreLikely(
    const suspect_map::value_type &Suspect,
    const suspect_map::value_type &Other) const {
  const bool WasSound = Cleared.contains(Suspect.first);
  const bool OtherWasSound = Cleared.contains(Other.first);
  if (WasSound != OtherWasSound)
    return OtherWasSound;
  return Suspect.second.Crashes.size() > Other.second.Crashes.size();
}

bool prompt_quarantine::isExplainedBy(
    const suspect_map::value_type &Suspect,
    const suspect_map::value_type &Other) const {
  if (!isMoreLikely(Other, Suspect))
    return false;
  std::vector<crash_time> Unexplained;
  for (const auto &[Endpoint, Crash] : Suspect.second.Crashes)
    if (!Other.second.Crashes.contains(Endpoint))
      Unexplained.push_back(Crash);
  return countIndependent(std::move(Unexplained)) < thresholdOf(Suspect.first);
}

bool prompt_quarantine::isSufficient(
    const suspect_map::value_type &Suspect) const {
  const std::size_t Threshold = thresholdOf(Suspect.first);
  return Suspect.second.Crashes.size() >= Threshold &&
         independentCrashes(Suspect.first) >= Threshold;
}

std::size_t prompt_quarantine::independentCrashes(segment_key Segment) const {
  return countIndependentCrashes(Records.standingOf(Segment));
}

prompt_quarantine::suspect_map
prompt_quarantine::suspects(steady_time Now) const {
  suspect_map Suspects;
  Records.forEachStanding([&](const crash_record &Record) {
    suspect &Suspect = Suspects[Record.Fingerprint];
    Suspect.Crashes.emplace(Record.Endpoint,
                            crash_time{Record.At, Record.CoincidenceTime});
    Suspect.LastCrashAt = std::max(Suspect.LastCrashAt, Record.At);
  });
  std::erase_if(Suspects, [&](const auto &Entry) {
    return Cleared.contains(Entry.first) &&
           Now - Entry.second.LastCrashAt > ClearedSegmentRetention;
  });
  return Suspects;
}

std::vector<endpoint_id>
prompt_quarantine::endpointsOf(const suspect_map::value_type &Suspect) {
  std::vector<endpoint_id> Endpoints;
  for (const auto &Crash : Suspect.second.Crashes)
    Endpoints.push_back(Crash.first);
  return Endpoints;
}

void prompt_quarantine::updateGroups(steady_time Now) {
  const suspect_map Suspects = suspects(Now);
  std::vector<const suspect_map::value_type *> Sufficient;
  for (const auto &Suspect : Suspects)
    if (isSufficient(Suspect))
      Sufficient.push_back(&Suspect);
  std::map<std::vector<endpoint_id>, std::vector<segment_key>> ByEndpoints;
  for (const auto *Suspect : Sufficient) {
    const bool IsExplained = std::any_of(
        Sufficient.begin(), Sufficient.end(),
        [&](const auto *Other) { return isExplainedBy(*Suspect, *Other); });
    if (!IsExplained)
      ByEndpoints[endpointsOf(*Suspect)].push_back(Suspect->first);
  }
  Groups.clear();
  for (const auto &[Endpoints, Segments] : ByEndpoints)
    Groups.push_back(Segments);
}

bool prompt_quarantine::isQuarantined(
    const std::vector<segment_key> &Segments) const {
  const auto IsInRequest = [&](segment_key Segment) {
    return std::find(Segments.begin(), Segments.end(), Segment) !=
           Segments.end();
  };
  return std::any_of(Groups.begin(), Groups.end(), [&](const auto &Group) {
    return std::all_of(Group.begin(), Group.end(), IsInRequest);
  });
}

void prompt_quarantine::expire(steady_time Now) {
  Records.expire(Now);
  std::erase_if(Cleared, [&](const auto &Entry) {
    return Now - Entry.second > crash_records::RetentionTime;
  });
  if (!Groups.empty())
    updateGroups(Now);
}

} // namespace azurehaven
