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
constexpr std::chrono::minutes RetentionTime{10};
/// How long a segment is quarantined that had been sound before. It may be
/// shared by many requests, and nothing else clears it.
constexpr std::chrono::seconds ClearedSegmentRetention{60};
/// Bounds of the memory that callers can make this VM use.
constexpr std::size_t MaximumSuspects = 4096;
constexpr std::size_t MaximumCleared = 65536;

} // namespace

std::vector<segment_key> sharedSegments(const dispatch_request &Request) {
  std::vector<segment_key> Keys;
  for (std::size_t Index = 0; Index + 1 < Request.Prompt.size(); ++Index)
    Keys.push_back(fingerprintOf(Request.Prompt[Index].Id));
  return Keys;
}

void prompt_quarantine::addLocal(const std::vector<segment_key> &Segments,
                                 const endpoint_id &Endpoint, steady_time Now) {
  for (const segment_key Segment : Segments) {
    const crash_record Record{Segment, Endpoint};
    merge(Record, Now);
    UnsentCrashes.push_back(Record);
  }
}

void prompt_quarantine::merge(const crash_record &Record, steady_time Now) {
  const bool IsKnown = Suspects.contains(Record.Segment);
  if (!IsKnown && Suspects.size() >= MaximumSuspects)
    return;
  const auto Suspect = Suspects.try_emplace(Record.Segment).first;
  Suspect->second.Endpoints.insert(Record.Endpoint);
  Suspect->second.LastCrashAt = Now;
  if (isSufficient(*Suspect))
    updateGroups();
}

void prompt_quarantine::clear(segment_key Segment, steady_time Now) {
  if (Cleared.size() < MaximumCleared || Cleared.contains(Segment))
    Cleared[Segment] = Now;
  if (Suspects.erase(Segment) > 0)
    updateGroups();
}

void prompt_quarantine::clearLocal(const std::vector<segment_key> &Segments,
                                   steady_time Now) {
  for (const segment_key Segment : Segments) {
    if (Suspects.contains(Segment))
      UnsentCleared.push_back(Segment);
    clear(Segment, Now);
  }
}

void prompt_quarantine::mergeCleared(segment_key Segment, steady_time Now) {
  clear(Segment, Now);
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
  return Suspect.second.Endpoints.size() > Other.second.Endpoints.size();
}

bool prompt_quarantine::isExplainedBy(
    const suspect_map::value_type &Suspect,
    const suspect_map::value_type &Other) const {
  if (!isMoreLikely(Other, Suspect))
    return false;
  const auto Unexplained = std::count_if(
      Suspect.second.Endpoints.begin(), Suspect.second.Endpoints.end(),
      [&](const endpoint_id &Endpoint) {
        return !Other.second.Endpoints.contains(Endpoint);
      });
  return static_cast<std::size_t>(Unexplained) < thresholdOf(Suspect.first);
}

bool prompt_quarantine::isSufficient(
    const suspect_map::value_type &Suspect) const {
  return Suspect.second.Endpoints.size() >= thresholdOf(Suspect.first);
}

void prompt_quarantine::updateGroups() {
  std::vector<const suspect_map::value_type *> Sufficient;
  for (const auto &Suspect : Suspects)
    if (isSufficient(Suspect))
      Sufficient.push_back(&Suspect);
  std::map<std::set<endpoint_id>, std::vector<segment_key>> ByEndpoints;
  for (const auto *Suspect : Sufficient) {
    const bool IsExplained = std::any_of(
        Sufficient.begin(), Sufficient.end(),
        [&](const auto *Other) { return isExplainedBy(*Suspect, *Other); });
    if (!IsExplained)
      ByEndpoints[Suspect->second.Endpoints].push_back(Suspect->first);
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

void prompt_quarantine::withdrawUnsent() {
  for (const crash_record &Record : takeUnsentCrashes()) {
    auto Found = Suspects.find(Record.Segment);
    if (Found == Suspects.end())
      continue;
    Found->second.Endpoints.erase(Record.Endpoint);
    if (Found->second.Endpoints.empty())
      Suspects.erase(Found);
  }
  updateGroups();
}

std::vector<prompt_quarantine::crash_record>
prompt_quarantine::takeUnsentCrashes() {
  return std::exchange(UnsentCrashes, {});
}

std::vector<segment_key> prompt_quarantine::takeUnsentCleared() {
  return std::exchange(UnsentCleared, {});
}

void prompt_quarantine::expire(steady_time Now) {
  const auto Forgotten = std::erase_if(Suspects, [&](const auto &Entry) {
    const auto Age = Now - Entry.second.LastCrashAt;
    return Age > RetentionTime ||
           (Cleared.contains(Entry.first) && Age > ClearedSegmentRetention);
  });
  std::erase_if(Cleared, [&](const auto &Entry) {
    return Now - Entry.second > RetentionTime;
  });
  if (Forgotten > 0)
    updateGroups();
}

} // namespace azurehaven
