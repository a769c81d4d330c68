#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace azurehaven {

/// Counts of the outcomes of requests: failures, and the successful ones by
/// their latency, in steps of half an octave. Latencies up to 14 ms are alike.
class outcome_histogram {
public:
  /// The latencies of the last bucket are 14.5 s or more.
  static constexpr std::size_t LatencyBuckets = 22;
  static constexpr std::size_t BucketsPerOctave = 2;

  void addFailure() { ++Failures; }
  void addSuccess(double LatencyMs);
  void setFailures(std::uint32_t Count) { Failures = Count; }
  void setSuccesses(std::size_t Bucket, std::uint32_t Count);

  std::uint32_t failures() const { return Failures; }
  std::uint32_t successes(std::size_t Bucket) const {
    return Successes[Bucket];
  }
  std::uint32_t total() const;

  outcome_histogram &operator+=(const outcome_histogram &Other);
  /// What has been counted since an earlier state of this histogram.
  outcome_histogram since(const outcome_histogram &Earlier) const;
  bool operator==(const outcome_histogram &) const = default;

private:
  std::uint32_t Failures = 0;
  std::array<std::uint32_t, LatencyBuckets> Successes{};
};

} // namespace azurehaven
