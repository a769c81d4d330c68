#include "LibRouting/sequential_drop_test.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

constexpr double MinimumMean = 0.01;
constexpr double MaximumMean = 0.99;
/// The learned reference is lowered by this many standard errors.
constexpr double ReferenceMarginStandardErrors = 1.5;
/// Smallest drop that is tested for, in standard errors of the reference.
constexpr double MinimumDropStandardErrors = 3.5;

double logLikelihoodRatio(double Sum, double Count, double Before,
                          double After) {
  return Sum * std::log(After / Before) +
         (Count - Sum) * std::log((1 - After) / (1 - Before));
}

} // namespace

std::optional<double> sequential_drop_test::reference() const {
  if (FixedReference)
    return std::clamp(*FixedReference, MinimumMean, MaximumMean);
  if (ReferenceSamples < Settings.MinimumReferenceSamples)
    return std::nullopt;
  // Too high a reference would cause false alarms; too low a reference only
  // delays true alarms a little.
  return std::clamp(referenceMean() -
                        ReferenceMarginStandardErrors * referenceError(),
                    MinimumMean, MaximumMean);
}

double sequential_drop_test::referenceMean() const {
  // Adds one good and one bad sample as a prior (Laplace smoothing), since a
  // short run may have no bad sample.
  return (ReferenceSum + 1) / (ReferenceSamples + 2);
}

double sequential_drop_test::referenceError() const {
  if (FixedReference)
    return 0;
  const double Mean = referenceMean();
  return std::sqrt(Mean * (1 - Mean) / (ReferenceSamples + 2));
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
  for (std::size_t Index = 0; Index < DropSizes.size(); ++Index) {
    // Tests for a drop only if it is large compared with the standard error of
    // the reference.
    if (DropSizes[Index] < MinimumDropStandardErrors * referenceError())
      continue;
    const double After =
        std::max(MinimumMean / 2, *Reference - DropSizes[Index]);
    Statistics[Index] =
        std::max(0.0, Statistics[Index] +
                          logLikelihoodRatio(Sum, Count, *Reference, After));
  }
  PendingSum += Sum;
  PendingSamples += Count;
  if (statistic() <= 0) {
    // No evidence of a drop: the pending samples extend the reference.
    ReferenceSum += PendingSum;
    ReferenceSamples += PendingSamples;
    PendingSum = 0;
    PendingSamples = 0;
  }
  // The logarithm accounts for the number of tests that run side by side, so
  // that all of them together raise false alarms no more often than one at
  // Threshold.
  IsAlarmed =
      statistic() >= Settings.Threshold + std::log(double(DropSizes.size()));
  return IsAlarmed;
}

double sequential_drop_test::statistic() const {
  return *std::max_element(Statistics.begin(), Statistics.end());
}

} // namespace azurehaven
