#include "LibRollout/release_verdict.h"

#include <algorithm>
#include <cmath>
#include <optional>

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
  /// The same number where bad outcomes are rare on the other releases; nullopt
  /// if these are compared at the usual rate.
  std::optional<std::uint32_t> MinimumRareSuspect;
  /// Largest variance of the number of bad outcomes, as a multiple of that of
  /// independent ones.
  double MaximumDispersion;
};

constexpr outcome_limits FailureLimits{.WorseDeviations = 4,
                                       .MinimumWorse = 4,
                                       .SuspectDeviations = 2,
                                       .SuspectRouteDeviations = 3,
                                       .MinimumSuspect = 2,
                                       .MinimumRareSuspect = 4,
                                       .MaximumDispersion = 1};
/// Slow responses come together: a long prompt delays all streams that run on
/// its endpoint.
constexpr outcome_limits SlowLimits{.WorseDeviations = 4,
                                    .MinimumWorse = 6,
                                    .SuspectDeviations = 2.5,
                                    .SuspectRouteDeviations = 4,
                                    .MinimumSuspect = 4,
                                    .MinimumRareSuspect = std::nullopt,
                                    .MaximumDispersion = 3};

/// Requests by which the dispersion grows by one: the more of them are known,
/// the more have run at the same time.
constexpr double RequestsPerDispersion = 50;

/// Lower bounds of the baseline rate, as a few bad outcomes happen to any
/// release: by itself, and where they are rare on the other releases.
constexpr double UsualRate = 0.03;
constexpr double RareRate = 0.01;
/// Rate, and its weight in requests, that the estimate of the baseline starts
/// from.
constexpr double PriorRate = 0.03;
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
      (Baseline.Since.*Bad + EarlierBad + PriorRate * PriorRequests) /
      (Baseline.Since.Requests + Weight + PriorRequests);
  return std::min(Rate, 1.0);
}

bad_outcomes badOutcomes(const release_counts &Counts, double BaselineRate,
                         std::uint32_t release_counts::*Bad,
                         double MaximumDispersion) {
  const double Dispersion =
      std::min(MaximumDispersion, 1 + Counts.Requests / RequestsPerDispersion);
  return {Counts.*Bad, Counts.Requests * BaselineRate,
          Dispersion * Counts.Requests * BaselineRate * (1 - BaselineRate)};
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
  const auto IsSuspicious = [&](const bad_outcomes &AtUsualRate,
                                const bad_outcomes &AtRareRate,
                                double Deviations) {
    return IsBad(AtUsualRate, Limits.MinimumSuspect, Deviations) ||
           (Limits.MinimumRareSuspect &&
            IsBad(AtRareRate, *Limits.MinimumRareSuspect, Deviations));
  };
  bad_outcomes UsualSum;
  bad_outcomes RareSum;
  bool IsSuspect = false;
  for (const auto &[Route, Counts] : Judged) {
    const auto Known = Baselines.find(Route);
    const double Rate = baselineRate(
        Known == Baselines.end() ? route_baseline{} : Known->second, Bad);
    const bad_outcomes AtUsualRate = badOutcomes(
        Counts, std::max(Rate, UsualRate), Bad, Limits.MaximumDispersion);
    const bad_outcomes AtRareRate = badOutcomes(
        Counts, std::max(Rate, RareRate), Bad, Limits.MaximumDispersion);
    if (IsBad(AtUsualRate, Limits.MinimumWorse, Limits.WorseDeviations))
      return release_verdict::Worse;
    IsSuspect |=
        IsSuspicious(AtUsualRate, AtRareRate, Limits.SuspectRouteDeviations);
    UsualSum += AtUsualRate;
    RareSum += AtRareRate;
  }
  if (IsBad(UsualSum, Limits.MinimumWorse, Limits.WorseDeviations))
    return release_verdict::Worse;
  IsSuspect |= IsSuspicious(UsualSum, RareSum, Limits.SuspectDeviations);
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
