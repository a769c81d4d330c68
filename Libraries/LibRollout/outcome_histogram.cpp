#include "LibRollout/outcome_histogram.h"

#include "LibTypes/verify.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace azurehaven {

namespace {

/// Of shorter times, the way between failure domains and a new connection take
/// the most.
constexpr double ShortestMs = 10;

std::uint32_t difference(std::uint32_t Now, std::uint32_t Earlier) {
  return Now - std::min(Now, Earlier);
}

} // namespace

void outcome_histogram::addSuccess(double LatencyMs) {
  const double Octaves = std::log2(std::max(LatencyMs / ShortestMs, 1.0));
  const auto Bucket = static_cast<std::size_t>(Octaves * BucketsPerOctave);
  ++Successes[std::min(Bucket, LatencyBuckets - 1)];
}

void outcome_histogram::setSuccesses(std::size_t Bucket, std::uint32_t Count) {
  VERIFY(Bucket < LatencyBuckets);
  Successes[Bucket] = Count;
}

std::uint32_t outcome_histogram::total() const {
  return std::accumulate(Successes.begin(), Successes.end(), Failures);
}

outcome_histogram &
outcome_histogram::operator+=(const outcome_histogram &Other) {
  Failures += Other.Failures;
  for (std::size_t Bucket = 0; Bucket < LatencyBuckets; ++Bucket)
    Successes[Bucket] += Other.Successes[Bucket];
  return *this;
}

outcome_histogram
outcome_histogram::since(const outcome_histogram &Earlier) const {
  outcome_histogram Since;
  Since.Failures = difference(Failures, Earlier.Failures);
  for (std::size_t Bucket = 0; Bucket < LatencyBuckets; ++Bucket)
    Since.Successes[Bucket] =
        difference(Successes[Bucket], Earlier.Successes[Bucket]);
  return Since;
}

} // namespace azurehaven
