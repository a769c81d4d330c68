#include "LibRouting/promotion_rule.h"

#include "LibRouting/version_chooser.h"

namespace azurehaven {

namespace {

/// The lower confidence bound of each of the version's shares may be this much
/// below the incumbent's share.
constexpr double PromotionMargin = 0.03;
/// Width of the confidence bound, in standard errors.
constexpr double BoundWidth = 1;

/// Samples of which some are good: rated 1, complete or in time.
struct share {
  double Good = 0;
  double Count = 0;
};

share qualityOf(const rating_counts &Counts) {
  return {Counts.scoreSum(), static_cast<double>(Counts.Count)};
}

share completenessOf(const rating_counts &Counts) {
  return {static_cast<double>(Counts.Successes),
          static_cast<double>(Counts.Successes + Counts.Failures)};
}

share punctualityOf(const rating_counts &Counts) {
  return {static_cast<double>(Counts.InTime),
          static_cast<double>(Counts.InTime + Counts.Late)};
}

bool isNoSmaller(const share &Version, const share &Incumbent) {
  return lowerMeanBound(Version.Good, Version.Count, BoundWidth) >=
         priorMean(Incumbent.Good, Incumbent.Count) - PromotionMargin;
}

} // namespace

bool isNoWorse(const rating_counts &Version, const rating_counts &Incumbent) {
  return isNoSmaller(qualityOf(Version), qualityOf(Incumbent)) &&
         isNoSmaller(completenessOf(Version), completenessOf(Incumbent)) &&
         isNoSmaller(punctualityOf(Version), punctualityOf(Incumbent));
}

} // namespace azurehaven
