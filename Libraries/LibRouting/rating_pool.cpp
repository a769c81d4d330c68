#include "LibRouting/rating_pool.h"

namespace azurehaven {

namespace {

constexpr std::size_t FreshNoticesPerFrame = 24;
constexpr std::size_t RepeatedNoticesPerFrame = 2;
constexpr std::size_t NoticeSends = 4;

rating_counts countsOf(const rating_notice &Notice) {
  return {Notice.Count, Notice.ScoreMilli, Notice.Successes, Notice.Failures};
}

void setCounts(rating_notice &Notice, const rating_counts &Counts) {
  Notice.Count = Counts.Count;
  Notice.ScoreMilli = Counts.ScoreMilli;
  Notice.Successes = Counts.Successes;
  Notice.Failures = Counts.Failures;
}

std::uint64_t progressOf(const rating_counts &Counts) {
  return Counts.Count + Counts.Successes + Counts.Failures;
}

bool isPlausible(const rating_counts &Counts) {
  return Counts.ScoreMilli <= Counts.Count * 1000;
}

/// Whether no field of After is below Before's, as counts only grow.
bool hasGrown(const rating_counts &Before, const rating_counts &After) {
  return After.Count >= Before.Count && After.ScoreMilli >= Before.ScoreMilli &&
         After.Successes >= Before.Successes &&
         After.Failures >= Before.Failures &&
         progressOf(After) > progressOf(Before);
}

} // namespace

rating_pool::rating_pool(vm_id Self, std::uint64_t Incarnation)
    : Self(std::move(Self)), Incarnation(Incarnation), Notices(NoticeSends) {}

void rating_pool::addLocal(const version_class &Key, std::size_t Bucket,
                           const rating_counts &Added) {
  Pooled[Key][Bucket] += Added;
  const notice_key Id{Self, Incarnation, Key,
                      static_cast<std::uint8_t>(Bucket)};
  rating_notice Notice{Self, Incarnation, Key.Version, Key.Class,
                       static_cast<std::uint8_t>(Bucket)};
  if (const rating_notice *Known = Notices.find(Id))
    Notice = *Known;
  rating_counts Counts = countsOf(Notice);
  Counts += Added;
  setCounts(Notice, Counts);
  Notices.put(Id, std::move(Notice));
}

std::optional<rating_counts> rating_pool::merge(const rating_notice &Notice) {
  const bool IsOwn = Notice.Origin == Self && Notice.Incarnation == Incarnation;
  if (IsOwn || Notice.Bucket >= BucketCount)
    return std::nullopt;
  const version_class Key{Notice.Version, Notice.Class};
  const notice_key Id{Notice.Origin, Notice.Incarnation, Key, Notice.Bucket};
  rating_counts Before;
  if (const rating_notice *Known = Notices.find(Id))
    Before = countsOf(*Known);
  const rating_counts After = countsOf(Notice);
  if (!hasGrown(Before, After) || !isPlausible(After))
    return std::nullopt;
  Notices.put(Id, Notice);
  const rating_counts Added = After - Before;
  Pooled[Key][Notice.Bucket] += Added;
  return Added;
}

const bucket_counts &rating_pool::pooled(const version_class &Key) const {
  static const bucket_counts None{};
  auto Found = Pooled.find(Key);
  return Found == Pooled.end() ? None : Found->second;
}

std::vector<rating_notice> rating_pool::takeNotices() {
  return Notices.take(FreshNoticesPerFrame, RepeatedNoticesPerFrame);
}

} // namespace azurehaven
