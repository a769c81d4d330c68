#include "LibRouting/rating_pool.h"

namespace azurehaven {

namespace {

constexpr std::size_t NewNoticesPerFrame = 8;
constexpr std::size_t RepeatedNoticesPerFrame = 1;
constexpr std::size_t SendsPerNotice = 2;

bool isPlausible(const rating_counts &Counts) {
  return Counts.ScoreMilli <= Counts.Count * 1000;
}

/// Returns whether no field of After is less than in Before; counts only grow.
bool isAtLeast(const rating_counts &After, const rating_counts &Before) {
  return After.Count >= Before.Count && After.ScoreMilli >= Before.ScoreMilli &&
         After.Successes >= Before.Successes &&
         After.Failures >= Before.Failures && After.InTime >= Before.InTime &&
         After.Late >= Before.Late;
}

} // namespace

rating_pool::rating_pool(vm_id Self, std::uint64_t Incarnation)
    : Self(std::move(Self)), Incarnation(Incarnation), Notices(SendsPerNotice) {
}

void rating_pool::addLocalCounts(const version_class &Key, std::size_t Bucket,
                                 const rating_counts &Added) {
  PooledCounts[Key][Bucket] += Added;
  const notice_key Id{Self, Incarnation, Key};
  rating_notice Notice{Self, Incarnation, Key.Version, Key.Class, {}};
  if (const rating_notice *Known = Notices.find(Id))
    Notice = *Known;
  Notice.Buckets[Bucket] += Added;
  Notices.put(Id, std::move(Notice));
}

std::optional<bucket_counts>
rating_pool::mergeNotice(const rating_notice &Notice) {
  if (Notice.Origin == Self && Notice.Incarnation == Incarnation)
    return std::nullopt;
  const version_class Key{Notice.Version, Notice.Class};
  const notice_key Id{Notice.Origin, Notice.Incarnation, Key};
  bucket_counts Before{};
  if (const rating_notice *Known = Notices.find(Id))
    Before = Known->Buckets;
  if (Before == Notice.Buckets)
    return std::nullopt;
  bucket_counts Added{};
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    const rating_counts &After = Notice.Buckets[Bucket];
    if (!isAtLeast(After, Before[Bucket]) || !isPlausible(After))
      return std::nullopt;
    Added[Bucket] = After - Before[Bucket];
  }
  Notices.put(Id, Notice);
  bucket_counts &Pool = PooledCounts[Key];
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket)
    Pool[Bucket] += Added[Bucket];
  return Added;
}

const bucket_counts &rating_pool::pooledCounts(const version_class &Key) const {
  static const bucket_counts None{};
  auto Found = PooledCounts.find(Key);
  return Found == PooledCounts.end() ? None : Found->second;
}

std::vector<rating_notice> rating_pool::takeNotices() {
  return Notices.take(NewNoticesPerFrame, RepeatedNoticesPerFrame);
}

} // namespace azurehaven
