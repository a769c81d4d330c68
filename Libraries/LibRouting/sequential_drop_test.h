#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace azurehaven {

struct drop_test_settings {
  /// Alarm level; the mean number of samples between false alarms is at least
  /// its exponential when the reference is exact.
  double Threshold = 11.5;
  /// Samples needed before the learned reference is used.
  double MinimumReferenceSamples = 50;
};

/// Detects that the mean of a stream of scores in [0, 1] has dropped below its
/// reference: one cumulative-sum test for each of several drops, so that small
/// and large ones are both found near the least possible delay.
/// Sources: Page, "Continuous inspection schemes", 1954; Lorden, "Procedures
/// for reacting to a change in distribution", 1971 (delay bound). Fractional
/// scores are covered since the Bernoulli likelihood bounds theirs.
class sequential_drop_test {
public:
  explicit sequential_drop_test(drop_test_settings Settings)
      : Settings(Settings) {}

  /// Tests against this mean instead of a learned one.
  void setReference(double Mean) { FixedReference = Mean; }

  /// Adds Count scores with the given sum; returns whether the alarm is on.
  bool add(double Sum, double Count);

  bool hasAlarmed() const { return IsAlarmed; }
  /// The largest of the tests' statistics.
  double statistic() const;
  /// The mean that the stream is tested against, once there is one.
  std::optional<double> reference() const;

private:
  double referenceMean() const;
  double referenceError() const;

  static constexpr std::array<double, 4> DropSizes = {0.05, 0.1, 0.2, 0.4};

  const drop_test_settings Settings;
  std::optional<double> FixedReference;
  std::array<double, DropSizes.size()> Statistics{};
  /// Samples known to precede any drop.
  double ReferenceSum = 0;
  double ReferenceSamples = 0;
  /// Samples since all statistics were last zero.
  double PendingSum = 0;
  double PendingSamples = 0;
  bool IsAlarmed = false;
};

} // namespace azurehaven
