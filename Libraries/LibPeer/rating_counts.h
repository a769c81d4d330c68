#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace azurehaven {

/// Rating and outcome totals of the answers of one version in one work class.
struct rating_counts {
  /// Number of ratings.
  std::uint64_t Count = 0;
  /// Sum of the scores (0 to 1) in thousandths.
  std::uint64_t ScoreMilli = 0;
  /// Complete answers, rated or not.
  std::uint64_t Successes = 0;
  /// Answers that failed after they had started.
  std::uint64_t Failures = 0;
  /// Attempts that met the latency targets of their class, and those that
  /// missed one, whether they were answered or not.
  std::uint64_t InTime = 0;
  std::uint64_t Late = 0;

  rating_counts &operator+=(const rating_counts &Other) {
    Count += Other.Count;
    ScoreMilli += Other.ScoreMilli;
    Successes += Other.Successes;
    Failures += Other.Failures;
    InTime += Other.InTime;
    Late += Other.Late;
    return *this;
  }
  rating_counts operator-(const rating_counts &Other) const {
    return {Count - Other.Count,         ScoreMilli - Other.ScoreMilli,
            Successes - Other.Successes, Failures - Other.Failures,
            InTime - Other.InTime,       Late - Other.Late};
  }
  bool operator==(const rating_counts &) const = default;

  /// Sum of the scores, each 0 to 1.
  double scoreSum() const { return static_cast<double>(ScoreMilli) / 1000.0; }
};

/// Answers are counted by the confidence that the engine reports, so that a
/// cascade's acceptance threshold can be learned; see docs/design/choice.md.
constexpr std::size_t ConfidenceBucketCount = 4;
/// Lower bounds of the buckets' confidence.
constexpr std::array<double, ConfidenceBucketCount>
    ConfidenceBucketLowerBounds = {0.0, 0.5, 0.7, 0.85};

/// Whether a version answers a request as the first one or after a cascade has
/// escalated it. The last stage of a cascade gets only requests on which a
/// cheaper version had low confidence. These are harder than the rest, so its
/// ratings are counted separately, by the confidence that the cascade requires.
enum class answer_role { Direct, Escalated };

constexpr std::size_t RoleCount = 2;
constexpr std::size_t BucketCount = RoleCount * ConfidenceBucketCount;

using bucket_counts = std::array<rating_counts, BucketCount>;

constexpr std::size_t firstBucketIndex(answer_role Role) {
  return static_cast<std::size_t>(Role) * ConfidenceBucketCount;
}

/// Returns the stratum of a bucket. Buckets whose answers come from the same
/// mix of requests form one stratum: all buckets of direct answers form stratum
/// 0, each bucket of escalated ones forms its own.
constexpr std::size_t stratumOfBucket(std::size_t Bucket) {
  return Bucket < ConfidenceBucketCount ? 0 : Bucket;
}

/// Confidence is the answer's own; for an escalated request, it is the
/// threshold that the cascade required of the previous stage.
constexpr std::size_t bucketIndex(answer_role Role, double Confidence) {
  std::size_t Bucket = 0;
  while (Bucket + 1 < ConfidenceBucketCount &&
         Confidence >= ConfidenceBucketLowerBounds[Bucket + 1])
    ++Bucket;
  return firstBucketIndex(Role) + Bucket;
}

/// Sums a role's buckets from confidence level First upwards.
inline rating_counts sumBuckets(const bucket_counts &Buckets,
                                answer_role Role = answer_role::Direct,
                                std::size_t First = 0) {
  rating_counts Sum;
  for (std::size_t Level = First; Level < ConfidenceBucketCount; ++Level)
    Sum += Buckets[firstBucketIndex(Role) + Level];
  return Sum;
}

} // namespace azurehaven
