#include "LibRouting/sequential_drop_test.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

constexpr double MinimumMean = 0.01;
constexpr double MaximumMean = 0.99;
/// Standard errors by which the learned reference is understated.
constexpr double ReferenceMarginStandardErrors = 1.5;
/// Least size of a drop that is tested, in standard errors of the reference.
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
  // An overstated reference would raise false alarms, an understated one only
  // delays true ones a little.
  return std::clamp(referenceMean() -
                        ReferenceMarginStandardErrors * referenceError(),
                    MinimumMean, MaximumMean);
}

double sequential_drop_test::referenceMean() const {
  // One good and one bad sample more, since a short run may have no bad one.
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
    // A drop is looked for once the reference is much surer than its size.
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
    // Nothing speaks for a drop, so that these samples extend the reference.
    ReferenceSum += PendingSum;
    ReferenceSamples += PendingSamples;
    PendingSum = 0;
    PendingSamples = 0;
  }
  IsAlarmed =
      statistic() >= Settings.Threshold + std::log(double(DropSizes.size()));
  return IsAlarmed;
}

double sequential_drop_test::statistic() const {
  return *std::max_element(Statistics.begin(), Statistics.end());
}

} // namespace azurehaven
