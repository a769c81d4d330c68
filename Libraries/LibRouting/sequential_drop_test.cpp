#include "LibRouting/sequential_drop_test.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

constexpr double LowestMean = 0.01;
constexpr double HighestMean = 0.99;

double logLikelihoodRatio(double Sum, double Count, double Before,
                          double After) {
  return Sum * std::log(After / Before) +
         (Count - Sum) * std::log((1 - After) / (1 - Before));
}

} // namespace

std::optional<double> sequential_drop_test::reference() const {
  if (FixedReference)
    return std::clamp(*FixedReference, LowestMean, HighestMean);
  if (ReferenceSamples < Settings.ReferenceCount)
    return std::nullopt;
  // One standard error below the mean: an overstated reference would raise
  // false alarms, an understated one only delays true ones a little.
  const double Mean = ReferenceSum / ReferenceSamples;
  const double Clamped = std::clamp(Mean, LowestMean, HighestMean);
  const double StandardError =
      std::sqrt(Clamped * (1 - Clamped) / ReferenceSamples);
  return std::clamp(Clamped - StandardError, LowestMean, HighestMean);
}

bool sequential_drop_test::add(double Sum, double Count) {
  if (IsAlarmed || Count <= 0)
    return IsAlarmed;
  const auto Reference = reference();
  if (!Reference) {
    ReferenceSum += Sum;
    ReferenceSamples += Count;
    return false;
  }
  for (std::size_t Index = 0; Index < Drops.size(); ++Index) {
    const double After = std::max(LowestMean / 2, *Reference - Drops[Index]);
    Statistics[Index] =
        std::max(0.0, Statistics[Index] +
                          logLikelihoodRatio(Sum, Count, *Reference, After));
  }
  PendingSum += Sum;
  PendingSamples += Count;
  if (statistic() <= 0) {
    // Nothing speaks for a drop, so that these samples extend the reference.
    ReferenceSum += PendingSum;
    ReferenceSamples += PendingSamples;
    PendingSum = 0;
    PendingSamples = 0;
  }
  IsAlarmed =
      statistic() >= Settings.Threshold + std::log(double(Drops.size()));
  return IsAlarmed;
}

double sequential_drop_test::statistic() const {
  return *std::max_element(Statistics.begin(), Statistics.end());
}

} // namespace azurehaven
