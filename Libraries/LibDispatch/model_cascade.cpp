#include "LibDispatch/model_cascade.h"

#include <cmath>

namespace azurehaven {

namespace {

/// Confidence below which a response is escalated while the engines are idle,
/// and the backlog at which the threshold has decayed to about a third (1/e) of
/// it.
constexpr double ConfidenceThreshold = 60;
constexpr double BacklogScaleMs = 1500;
/// Work per token of the largest model, relative to the smallest.
constexpr double LargestModelWorkRatio = 10;

} // namespace

std::size_t model_cascade::firstModel(const route &Route,
                                      milliseconds Backlog) const {
  const bool IsJudged = Route.allowsReexecution();
  const bool HasTimeForLargest =
      static_cast<double>(Backlog.count()) < BacklogScaleMs;
  return IsJudged || !HasTimeForLargest ? 0 : Route.ModelsBySize.size() - 1;
}

double model_cascade::workPerToken(const route &Route,
                                   std::size_t Model) const {
  if (Route.ModelsBySize.size() < 2)
    return 1;
  const double Step = static_cast<double>(Model) /
                      static_cast<double>(Route.ModelsBySize.size() - 1);
  return std::pow(LargestModelWorkRatio, Step);
}

std::optional<std::size_t> model_cascade::escalate(const route &Route,
                                                   const dispatch_request &,
                                                   std::size_t Model,
                                                   int Confidence,
                                                   milliseconds Backlog) const {
  const std::size_t Largest = Route.ModelsBySize.size() - 1;
  const double AcceptedConfidence =
      ConfidenceThreshold *
      std::exp(-static_cast<double>(Backlog.count()) / BacklogScaleMs);
  if (Model >= Largest || Confidence >= AcceptedConfidence)
    return std::nullopt;
  return Largest;
}

} // namespace azurehaven
