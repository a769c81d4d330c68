#include "LibRollout/exposure_budget.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Standard deviations of the number of requests in the time in which the
/// target gets all of them; more may come than the rate so far lets expect.
constexpr double ForecastDeviations = 2.5;
/// Fraction of the attempts in flight that still run when the old endpoints
/// stop, and are sent to the target again.
constexpr double MovedFraction = 0.6;
constexpr milliseconds MinimumObservation{1000};

double asDouble(milliseconds Time) { return static_cast<double>(Time.count()); }

} // namespace

exposure_budget::exposure_budget(const exposure_limits &Limits,
                                 const exposure_counts &Counts,
                                 milliseconds Observed,
                                 milliseconds UntilTimeLimit)
    : Limits(Limits), Counts(Counts), Observed(Observed),
      UntilTimeLimit(std::max(UntilTimeLimit, milliseconds(0))) {
  if (hasRate())
    RatePerMs = Counts.All / asDouble(Observed);
}

bool exposure_budget::hasRate() const {
  return Observed >= MinimumObservation && Counts.All > 0;
}

double exposure_budget::allowanceBefore(milliseconds FullTime) const {
  const double Expected = Counts.All + RatePerMs * asDouble(UntilTimeLimit);
  const double FullRequests = RatePerMs * asDouble(FullTime);
  const double Margin = ForecastDeviations * std::sqrt(FullRequests);
  return Limits.Share * Expected + Limits.Slack - FullRequests - Margin -
         MovedFraction * Counts.InFlight;
}

bool exposure_budget::allowsAll(milliseconds FullTime) const {
  return allowanceBefore(FullTime) >= Counts.Target;
}

double exposure_budget::plannedShare(milliseconds FullTime,
                                     milliseconds TrialTime) const {
  const double TrialRequests = RatePerMs * asDouble(TrialTime);
  return TrialRequests > 0 ? allowanceBefore(FullTime) / TrialRequests : 0;
}

double exposure_budget::remainingShare(milliseconds FullTime,
                                       milliseconds TrialTime) const {
  const double TrialRequests = RatePerMs * asDouble(TrialTime);
  const double Allowed =
      std::max(allowanceBefore(FullTime) - Counts.Target, 0.0);
  if (TrialRequests <= 0)
    return 0;
  // The trial may get more than its share as well.
  const double FullRequests = RatePerMs * asDouble(FullTime);
  const double Margin =
      ForecastDeviations *
      (std::sqrt(FullRequests + Allowed) - std::sqrt(FullRequests));
  return std::max(Allowed - Margin, 0.0) / TrialRequests;
}

} // namespace azurehaven
