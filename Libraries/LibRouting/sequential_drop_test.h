#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace azurehaven {

struct drop_test_settings {
  /// Alarm threshold of the log-likelihood ratio. If the reference is exact,
  /// the mean number of samples between false alarms is at least
  /// exp(Threshold).
  double Threshold = 11.5;
  /// Samples required before the learned reference is used.
  double MinimumReferenceSamples = 50;
};

/// Detects that the mean of a stream of scores in [0, 1] has dropped below its
/// reference. Runs one cumulative-sum (CUSUM) test for each of several drop
/// sizes, so that the detection delay is close to the lower bound for small and
/// for large drops.
/// Sources: Page, "Continuous inspection schemes", 1954; Lorden, "Procedures
/// for reacting to a change in distribution", 1971 (delay bound). Fractional
/// scores are valid too, since the Bernoulli likelihood bounds theirs.
class sequential_drop_test {
public:
  explicit sequential_drop_test(drop_test_settings Settings)
      : Settings(Settings) {}

  /// Sets a fixed reference instead of the learned one.
  void setReference(double Mean) { FixedReference = Mean; }

  /// Adds Count scores with the given sum; returns whether the alarm is raised.
  /// Once raised, the alarm stays.
  bool add(double Sum, double Count);

  bool hasAlarmed() const { return IsAlarmed; }
  /// The largest statistic over all drop sizes.
  double statistic() const;
  /// The mean that the stream is tested against; nullopt while there are too
  /// few samples.
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
  /// Samples since all statistics were last zero, which a drop may affect.
  double PendingSum = 0;
  double PendingSamples = 0;
  bool IsAlarmed = false;
};

} // namespace azurehaven
