#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace azurehaven {

/// Sums over the answers of one version in one class of work.
struct rating_counts {
  std::uint64_t Count = 0;
  /// Sum of the scores (0 to 1) in thousandths.
  std::uint64_t ScoreMilli = 0;
  std::uint64_t Successes = 0;
  std::uint64_t Failures = 0;

  rating_counts &operator+=(const rating_counts &Other) {
    Count += Other.Count;
    ScoreMilli += Other.ScoreMilli;
    Successes += Other.Successes;
    Failures += Other.Failures;
    return *this;
  }
  rating_counts operator-(const rating_counts &Other) const {
    return {Count - Other.Count, ScoreMilli - Other.ScoreMilli,
            Successes - Other.Successes, Failures - Other.Failures};
  }
  bool operator==(const rating_counts &) const = default;

  double score() const { return static_cast<double>(ScoreMilli) / 1000.0; }
};

/// Answers are kept apart by the engine's own confidence, so that a cascade's
/// acceptance rule can be learned; see docs/design/choice.md.
constexpr std::size_t ConfidenceBucketCount = 4;
/// Lower bounds of the buckets.
constexpr std::array<double, ConfidenceBucketCount> ConfidenceBucketFloor = {
    0.0, 0.5, 0.7, 0.85};

constexpr std::size_t confidenceBucketOf(double Confidence) {
  std::size_t Bucket = 0;
  while (Bucket + 1 < ConfidenceBucketCount &&
         Confidence >= ConfidenceBucketFloor[Bucket + 1])
    ++Bucket;
  return Bucket;
}

using bucket_counts = std::array<rating_counts, ConfidenceBucketCount>;

/// Sum over the buckets from First on.
inline rating_counts sumOf(const bucket_counts &Buckets,
                           std::size_t First = 0) {
  rating_counts Sum;
  for (std::size_t Bucket = First; Bucket < Buckets.size(); ++Bucket)
    Sum += Buckets[Bucket];
  return Sum;
}

} // namespace azurehaven
