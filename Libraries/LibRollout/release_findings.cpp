#include "LibRollout/release_findings.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <set>

namespace azurehaven {

namespace {

/// A kind of fault: a share of the requests fails, or takes longer.
struct fault_hypothesis {
  double Share;
  /// Buckets by which a latency is longer; nullopt for failures.
  std::optional<std::size_t> SlowerBuckets;
  /// How likely the fault is among the others.
  double Weight;
};

/// Releases fail about as often as they are slow; few failures are mostly those
/// of an endpoint.
constexpr double ManyFailures = 0.4;
constexpr double FewFailures = 0.05;
constexpr double Slowness = 0.5 / 9;

/// Failures as of a service under load, of one that is broken in part, and in
/// most of it; three, four and eight times slower.
constexpr std::array<fault_hypothesis, 12> Hypotheses{{
    {0.05, std::nullopt, FewFailures},
    {0.15, std::nullopt, FewFailures},
    {0.4, std::nullopt, ManyFailures},
    {0.2, 3, Slowness},
    {0.4, 3, Slowness},
    {0.8, 3, Slowness},
    {0.2, 4, Slowness},
    {0.4, 4, Slowness},
    {0.8, 4, Slowness},
    {0.2, 6, Slowness},
    {0.4, 6, Slowness},
    {0.8, 6, Slowness},
}};

/// Chance that an endpoint is faulty by itself.
constexpr double EndpointFaultChance = 0.1;
/// From this ratio on, an endpoint is taken for faulty, if that is one of so
/// many.
constexpr double FaultyEndpointRatio = 3;
constexpr std::size_t MinimumEndpointsPerFault = 3;

/// Lower bound of the usual failure rate, as a few failures happen to any
/// release; and the rate, with its weight in requests, that its estimate starts
/// from.
constexpr double MinimumFailureRate = 0.01;
constexpr double PriorFailureRate = 0.03;
constexpr double PriorRequests = 20;
/// Part of the usual latencies that is taken to lie above the median, evenly
/// over this many buckets: some responses of any release are late.
constexpr double LateShare = 0.05;
constexpr std::size_t LateBuckets = 10;
/// Part of a bucket's latencies that is taken to lie in each of its neighbours.
constexpr double NeighbourShare = 0.15;
/// No outcome is impossible.
constexpr double MinimumProbability = 1e-4;

using latency_distribution =
    std::array<double, outcome_histogram::LatencyBuckets>;

/// Probabilities of the outcomes of a request.
struct outcome_distribution {
  double Failure = 0;
  latency_distribution Latencies{};
};

void normalize(latency_distribution &Distribution) {
  const double Sum =
      std::accumulate(Distribution.begin(), Distribution.end(), 0.0);
  for (double &Probability : Distribution)
    Probability /= Sum;
}

latency_distribution smoothed(const outcome_histogram &Outcomes) {
  latency_distribution Smoothed{};
  const std::size_t Last = Smoothed.size() - 1;
  for (std::size_t Bucket = 0; Bucket <= Last; ++Bucket) {
    const double Count = Outcomes.successes(Bucket);
    Smoothed[Bucket] += Count * (1 - 2 * NeighbourShare);
    Smoothed[Bucket == 0 ? 0 : Bucket - 1] += Count * NeighbourShare;
    Smoothed[std::min(Bucket + 1, Last)] += Count * NeighbourShare;
  }
  return Smoothed;
}

std::size_t medianBucket(const latency_distribution &Distribution) {
  double Sum = 0;
  for (std::size_t Bucket = 0; Bucket < Distribution.size(); ++Bucket) {
    Sum += Distribution[Bucket];
    if (Sum >= 0.5)
      return Bucket;
  }
  return Distribution.size() - 1;
}

/// What the outcomes let expect of any release; nullopt if none succeeded.
std::optional<outcome_distribution>
usualDistribution(const outcome_histogram &Outcomes) {
  const std::uint32_t Total = Outcomes.total();
  if (Outcomes.failures() == Total)
    return std::nullopt;
  outcome_distribution Usual;
  Usual.Failure =
      std::max(MinimumFailureRate,
               (Outcomes.failures() + PriorFailureRate * PriorRequests) /
                   (Total + PriorRequests));
  Usual.Latencies = smoothed(Outcomes);
  normalize(Usual.Latencies);
  const std::size_t Median = medianBucket(Usual.Latencies);
  for (double &Probability : Usual.Latencies)
    Probability = Probability * (1 - LateShare) + MinimumProbability;
  const std::size_t LateEnd =
      std::min(Median + LateBuckets, Usual.Latencies.size());
  for (std::size_t Bucket = Median; Bucket < LateEnd; ++Bucket)
    Usual.Latencies[Bucket] += LateShare / LateBuckets;
  normalize(Usual.Latencies);
  return Usual;
}

latency_distribution slowed(const latency_distribution &Usual,
                            std::size_t Buckets) {
  latency_distribution Slowed{};
  const std::size_t Last = Usual.size() - 1;
  for (std::size_t Bucket = 0; Bucket <= Last; ++Bucket)
    Slowed[std::min(Bucket + Buckets, Last)] += Usual[Bucket];
  return Slowed;
}

/// Logarithms of the likelihood ratios, by hypothesis.
using log_ratios = std::array<double, Hypotheses.size()>;

log_ratios &operator+=(log_ratios &Ratios, const log_ratios &Other) {
  for (std::size_t Index = 0; Index < Ratios.size(); ++Index)
    Ratios[Index] += Other[Index];
  return Ratios;
}

log_ratios operator-(log_ratios Ratios, const log_ratios &Other) {
  for (std::size_t Index = 0; Index < Ratios.size(); ++Index)
    Ratios[Index] -= Other[Index];
  return Ratios;
}

/// What each outcome of a route adds to the logarithms of the ratios.
class outcome_weights {
public:
  explicit outcome_weights(const outcome_distribution &Usual) {
    for (std::size_t Index = 0; Index < Hypotheses.size(); ++Index)
      addHypothesis(Index, Usual);
  }

  log_ratios ratiosOf(const outcome_histogram &Outcomes) const {
    log_ratios Ratios{};
    for (std::size_t Index = 0; Index < Ratios.size(); ++Index) {
      Ratios[Index] = Outcomes.failures() * OfFailure[Index];
      for (std::size_t Bucket = 0; Bucket < OfLatency[Index].size(); ++Bucket)
        if (const std::uint32_t Count = Outcomes.successes(Bucket))
          Ratios[Index] += Count * OfLatency[Index][Bucket];
    }
    return Ratios;
  }

private:
  void addHypothesis(std::size_t Index, const outcome_distribution &Usual) {
    const fault_hypothesis &Fault = Hypotheses[Index];
    if (!Fault.SlowerBuckets) {
      OfFailure[Index] =
          std::log(1 - Fault.Share + Fault.Share / Usual.Failure);
      OfLatency[Index].fill(std::log(1 - Fault.Share));
      return;
    }
    const latency_distribution Slowed =
        slowed(Usual.Latencies, *Fault.SlowerBuckets);
    for (std::size_t Bucket = 0; Bucket < Slowed.size(); ++Bucket)
      OfLatency[Index][Bucket] =
          std::log(1 - Fault.Share +
                   Fault.Share * Slowed[Bucket] / Usual.Latencies[Bucket]);
  }

  log_ratios OfFailure{};
  std::array<latency_distribution, Hypotheses.size()> OfLatency{};
};

/// The logarithm of a weighted mean of ratios that are given by their
/// logarithms.
class log_mean {
public:
  void add(double LogRatio, double Weight) {
    const double Term = LogRatio + std::log(Weight);
    const double Larger = std::max(Sum, Term);
    Sum = Larger + std::log1p(std::exp(std::min(Sum, Term) - Larger));
  }
  double value() const { return Sum; }

private:
  double Sum = -std::numeric_limits<double>::infinity();
};

/// The logarithm of the likelihood ratio of an endpoint that may be faulty by
/// itself, in any way, to a sound one.
double ratioOfEndpointFault(const log_ratios &Ratios) {
  log_mean Mean;
  Mean.add(0, 1 - EndpointFaultChance);
  for (std::size_t Index = 0; Index < Hypotheses.size(); ++Index)
    Mean.add(Ratios[Index], EndpointFaultChance * Hypotheses[Index].Weight);
  return Mean.value();
}

using ratios_by_endpoint = std::map<std::uint64_t, log_ratios>;

/// The mean over all alternatives of what tells against a release.
class mean_ratios {
public:
  /// All outcomes of the release.
  explicit mean_ratios(ratios_by_endpoint Whole) : Whole(std::move(Whole)) {}

  /// Adds the alternative that only these of the outcomes are those of a faulty
  /// release. Single endpoints may be faulty by themselves, with it or without.
  void add(const ratios_by_endpoint &Faulty, double Weight) {
    double OfEndpointFaults = 0;
    for (const auto &[Endpoint, Ratios] : Faulty) {
      const log_ratios &All = Whole.at(Endpoint);
      OfEndpointFaults +=
          ratioOfEndpointFault(All) - ratioOfEndpointFault(All - Ratios);
    }
    for (std::size_t Index = 0; Index < Hypotheses.size(); ++Index) {
      const double Each = Weight * Hypotheses[Index].Weight;
      double OfRelease = 0;
      for (const auto &[Endpoint, Ratios] : Faulty)
        OfRelease += Ratios[Index];
      Outcomes.add(OfRelease, Each);
      Release.add(OfRelease - OfEndpointFaults, Each);
    }
  }

  double ofOutcomes() const { return Outcomes.value(); }
  double ofRelease() const { return Release.value(); }

private:
  const ratios_by_endpoint Whole;
  log_mean Outcomes;
  log_mean Release;
};

/// What the other releases tell of a route.
struct usual_route {
  outcome_weights Weights;
  /// Part of the requests that the route has.
  double Share;
};

using usual_routes = std::map<std::string, usual_route>;

/// What the release's requests tell, without those of some endpoints.
usual_routes usualRoutesOf(const evidence_totals &Since,
                           const std::string &Release,
                           const std::set<std::uint64_t> &LeftOut) {
  std::map<std::string, outcome_histogram> Usual;
  double Total = 0;
  for (const auto &[Key, Outcomes] : Since) {
    if (Key.Release == Release || LeftOut.contains(Key.Endpoint))
      continue;
    Usual[Key.Route] += Outcomes;
    Total += Outcomes.total();
  }
  usual_routes Routes;
  for (const auto &[Route, Outcomes] : Usual)
    if (const auto Distribution = usualDistribution(Outcomes))
      Routes.emplace(Route, usual_route{outcome_weights(*Distribution),
                                        Outcomes.total() / Total});
  return Routes;
}

enum class release_group { Judged, Others };

ratios_by_endpoint ratiosOf(const evidence_totals &Since,
                            const std::string &Release, release_group Group,
                            const usual_routes &Usual) {
  ratios_by_endpoint Endpoints;
  for (const auto &[Key, Outcomes] : Since) {
    const bool IsJudged = Key.Release == Release;
    const auto Known = Usual.find(Key.Route);
    if (IsJudged != (Group == release_group::Judged) || Known == Usual.end())
      continue;
    Endpoints.try_emplace(Key.Endpoint).first->second +=
        Known->second.Weights.ratiosOf(Outcomes);
  }
  return Endpoints;
}

/// Endpoints of the other releases that are faulty by themselves, unless these
/// are many: what impairs most endpoints is usual.
std::set<std::uint64_t> faultyEndpoints(const evidence_totals &Since,
                                        const std::string &Release,
                                        const usual_routes &Usual) {
  const ratios_by_endpoint Endpoints =
      ratiosOf(Since, Release, release_group::Others, Usual);
  std::set<std::uint64_t> Faulty;
  for (const auto &[Endpoint, Ratios] : Endpoints)
    if (ratioOfEndpointFault(Ratios) > FaultyEndpointRatio)
      Faulty.insert(Endpoint);
  const bool AreFew =
      Faulty.size() * MinimumEndpointsPerFault <= Endpoints.size();
  return AreFew ? Faulty : std::set<std::uint64_t>();
}

/// Adds what has been counted of the release since the start of one window.
/// Half of the weight goes to faults of all routes, the rest to those of one.
void addWindow(mean_ratios &Mean, const evidence_totals &Since,
               const std::string &Release, const usual_routes &Usual,
               double Weight) {
  Mean.add(ratiosOf(Since, Release, release_group::Judged, Usual), Weight / 2);
  for (const auto &[Route, Known] : Usual) {
    const usual_routes OnlyThis{{Route, Known}};
    Mean.add(ratiosOf(Since, Release, release_group::Judged, OnlyThis),
             Weight / 2 * Known.Share);
  }
}

evidence_totals totalsSince(const evidence_totals &Totals,
                            const evidence_totals &Start) {
  evidence_totals Since;
  for (const auto &[Key, Outcomes] : Totals) {
    const auto Known = Start.find(Key);
    const outcome_histogram Added =
        Known == Start.end() ? Outcomes : Outcomes.since(Known->second);
    if (Added.total() > 0)
      Since.emplace(Key, Added);
  }
  return Since;
}

release_findings countsOf(const evidence_totals &Since,
                          const std::string &Release) {
  release_findings Findings;
  std::set<std::uint64_t> Endpoints;
  for (const auto &[Key, Outcomes] : Since) {
    if (Key.Release != Release) {
      Findings.UsualRequests += Outcomes.total();
      continue;
    }
    Findings.Requests += Outcomes.total();
    Findings.Failures += Outcomes.failures();
    Endpoints.insert(Key.Endpoint);
  }
  Findings.Endpoints = static_cast<std::uint32_t>(Endpoints.size());
  return Findings;
}

} // namespace

release_findings weighEvidence(const evidence_totals &Totals,
                               const std::vector<evidence_totals> &Starts,
                               const std::string &Release) {
  if (Starts.empty())
    return {};
  const evidence_totals Whole = totalsSince(Totals, Starts.front());
  release_findings Findings = countsOf(Whole, Release);
  const usual_routes OfAll = usualRoutesOf(Whole, Release, {});
  const usual_routes Usual =
      usualRoutesOf(Whole, Release, faultyEndpoints(Whole, Release, OfAll));
  if (Usual.empty())
    return Findings;
  mean_ratios Mean(ratiosOf(Whole, Release, release_group::Judged, Usual));
  // A fault is mostly there from the start on.
  const double LateWeight = Starts.size() > 1 ? 0.5 : 0;
  addWindow(Mean, Whole, Release, Usual, 1 - LateWeight);
  for (std::size_t Late = 1; Late < Starts.size(); ++Late)
    addWindow(Mean, totalsSince(Totals, Starts[Late]), Release, Usual,
              LateWeight / static_cast<double>(Starts.size() - 1));
  Findings.OutcomeRatio = Mean.ofOutcomes();
  Findings.ReleaseRatio = Mean.ofRelease();
  return Findings;
}

release_verdict verdictOf(const release_findings &Findings) {
  const bool IsWorse = Findings.OutcomeRatio >= WorseOutcomeRatio &&
                       Findings.ReleaseRatio >= WorseReleaseRatio;
  if (IsWorse)
    return release_verdict::Worse;
  if (Findings.ReleaseRatio >= SuspectReleaseRatio)
    return release_verdict::Suspect;
  return Findings.ReleaseRatio <= SoundReleaseRatio ? release_verdict::Sound
                                                    : release_verdict::Unproven;
}

} // namespace azurehaven
