#include "LibDispatch/release_verdict.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// When bad outcomes of one kind tell against a release.
struct outcome_limits {
  /// For a release that is worse. The test is repeated several times per
  /// second, and a false positive rolls back a good release.
  double WorseDeviations;
  std::uint32_t MinimumWorse;
  /// For a release that is not completed, over all routes and on a single one.
  double SuspectDeviations;
  double SuspectRouteDeviations;
  std::uint32_t MinimumSuspect;
};

constexpr outcome_limits FailureLimits{4, 4, 2, 3, 2};
/// Slow responses come together when an endpoint is busy for a moment, as with
/// the first prompts of a trial.
constexpr outcome_limits SlowLimits{4, 6, 2.5, 4, 4};

/// Lower bound of the baseline rate: a few failures happen to any release.
constexpr double MinimumBaselineRate = 0.03;
/// Weight of the minimum rate in the estimated baseline, in requests.
constexpr double PriorRequests = 20;
/// Largest weight of the time before the roll-out in the baseline, in requests:
/// what impairs the service now impairs all its releases.
constexpr double MaximumEarlierRequests = 50;
/// A service with this many attempts since the order should have shown a
/// success of the release, and half of its attempts up to this many.
constexpr std::uint32_t MinimumServiceAttempts = 20;
constexpr std::uint32_t SufficientSuccesses = 5;

release_counts countsSince(const release_counts &Now,
                           const release_counts &Before) {
  return {Now.Requests - Before.Requests, Now.Failures - Before.Failures,
          Now.Slow - Before.Slow, Now.Attempts - Before.Attempts};
}

/// What is known of the other releases on one route.
struct route_baseline {
  release_counts Earlier;
  release_counts Since;
};

double baselineRate(const route_baseline &Baseline,
                    std::uint32_t release_counts::*Bad) {
  const double Earlier = Baseline.Earlier.Requests;
  const double Weight = std::min(Earlier, MaximumEarlierRequests);
  const double EarlierBad =
      Earlier > 0 ? Baseline.Earlier.*Bad * Weight / Earlier : 0;
  const double Rate =
      (Baseline.Since.*Bad + EarlierBad + MinimumBaselineRate * PriorRequests) /
      (Baseline.Since.Requests + Weight + PriorRequests);
  return std::clamp(Rate, MinimumBaselineRate, 1.0);
}

bad_outcomes badOutcomes(const release_counts &Counts, double BaselineRate,
                         std::uint32_t release_counts::*Bad) {
  return {Counts.*Bad, Counts.Requests * BaselineRate,
          Counts.Requests * BaselineRate * (1 - BaselineRate)};
}

/// The verdict from one kind of bad outcome. A route that fails often on any
/// release adds to what is expected, so that it does not hide the others.
release_verdict
judgeKind(const std::map<std::string, release_counts> &Judged,
          const std::map<std::string, route_baseline> &Baselines,
          std::uint32_t release_counts::*Bad, const outcome_limits &Limits) {
  const auto IsBad = [](const bad_outcomes &Outcomes, std::uint32_t Minimum,
                        double Deviations) {
    return Outcomes.Count >= Minimum && isAboveExpected(Outcomes, Deviations);
  };
  bad_outcomes Sum;
  bool IsSuspect = false;
  for (const auto &[Route, Counts] : Judged) {
    const auto Known = Baselines.find(Route);
    const double Rate = baselineRate(
        Known == Baselines.end() ? route_baseline{} : Known->second, Bad);
    const bad_outcomes OnRoute = badOutcomes(Counts, Rate, Bad);
    if (IsBad(OnRoute, Limits.MinimumWorse, Limits.WorseDeviations))
      return release_verdict::Worse;
    IsSuspect |=
        IsBad(OnRoute, Limits.MinimumSuspect, Limits.SuspectRouteDeviations);
    Sum.Count += OnRoute.Count;
    Sum.Expected += OnRoute.Expected;
    Sum.Variance += OnRoute.Variance;
  }
  if (IsBad(Sum, Limits.MinimumWorse, Limits.WorseDeviations))
    return release_verdict::Worse;
  IsSuspect |= IsBad(Sum, Limits.MinimumSuspect, Limits.SuspectDeviations);
  return IsSuspect ? release_verdict::Suspect : release_verdict::Sound;
}

} // namespace

const char *nameOf(release_verdict Verdict) {
  switch (Verdict) {
  case release_verdict::Unproven:
    return "unproven";
  case release_verdict::Sound:
    return "sound";
  case release_verdict::Suspect:
    return "suspect";
  case release_verdict::Worse:
    return "worse";
  }
  return "unknown";
}

bool isAboveExpected(const bad_outcomes &Bad, double Deviations) {
  return Bad.Count > Bad.Expected + Deviations * std::sqrt(Bad.Variance);
}

release_verdict judgeRelease(const service_totals &Totals,
                             const service_totals &Before,
                             const std::string &Release) {
  std::map<std::string, release_counts> Judged;
  std::map<std::string, route_baseline> Baselines;
  release_counts OfRelease;
  std::uint32_t ServiceAttempts = 0;
  for (const auto &[Key, Counts] : Totals) {
    const auto Known = Before.find(Key);
    const release_counts Earlier =
        Known == Before.end() ? release_counts{} : Known->second;
    const release_counts Since = countsSince(Counts, Earlier);
    ServiceAttempts += Since.Attempts;
    if (Key.Release == Release) {
      Judged[Key.Route] += Since;
      OfRelease += Since;
      continue;
    }
    Baselines[Key.Route].Earlier += Earlier;
    Baselines[Key.Route].Since += Since;
  }
  const release_verdict Verdict = std::max(
      judgeKind(Judged, Baselines, &release_counts::Failures, FailureLimits),
      judgeKind(Judged, Baselines, &release_counts::Slow, SlowLimits));
  if (Verdict == release_verdict::Worse)
    return Verdict;
  const std::uint32_t Bad = OfRelease.Failures + OfRelease.Slow;
  const std::uint32_t Successes =
      OfRelease.Requests - std::min(OfRelease.Requests, Bad);
  const bool IsUnproven =
      ServiceAttempts >= MinimumServiceAttempts &&
      Successes < std::clamp(OfRelease.Attempts / 2, 1u, SufficientSuccesses);
  return IsUnproven ? release_verdict::Unproven : Verdict;
}

} // namespace azurehaven
