#include "LibRouting/version_chooser.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace azurehaven {

namespace {

constexpr double SmoothingFactor = 0.05;
/// Prior of the quality estimate: one rating of 0.5.
constexpr double PriorCount = 1;
constexpr double PriorScore = 0.5;
/// Distance of the lower quality bound from the mean in a class with an
/// exposure weight of 1.
constexpr double LowerBoundStandardErrors = 0.5;
/// Widens the bound for cascades, whose quality combines several estimates.
constexpr double CascadeStandardErrorFactor = 3.0;
/// Largest share of requests that explore while the quality of a cheaper
/// version is undecided.
constexpr double MaximumExplorationShare = 0.25;
/// Number of ratings beyond which a version is explored less often.
constexpr double ExplorationRatings = 150;
/// Share of requests that explores even if the expected quality does not exceed
/// the target.
constexpr double MinimumExplorationShare = 0.02;
/// Distance of the upper quality bound from the mean. A version's quality is
/// undecided while this bound reaches the target.
constexpr double UpperBoundStandardErrors = 3.0;
/// Below this number of ratings, the quality is always undecided.
constexpr std::uint64_t MinimumDecidingRatings = 20;
/// Ratings of the cheap stage, in total and at or above the accepted
/// confidence, required before a cascade is considered.
constexpr std::uint64_t MinimumCascadeRatings = 30;
constexpr double InitialRollOutShare = 0.02;
/// Ratings that would raise the share of a roll-out by 1 at an exposure weight
/// of 1; the share is capped at one half.
constexpr double RollOutRatingsPerFullShare = 500;
/// Share of requests that a suspect version still gets, to collect evidence.
constexpr double SuspectShare = 0.1;
constexpr double P95Deviations = 2;
constexpr double BelowTargetLatencyWeight = 0.05;

double updatedMean(double Old, double New, std::uint64_t Samples) {
  const double Factor =
      std::max(SmoothingFactor, 1.0 / static_cast<double>(Samples + 1));
  return Old + Factor * (New - Old);
}

double costOf(const version_view &View) {
  const version_statistics &Statistics = View.Statistics;
  return (Statistics.PromptTokens *
              static_cast<double>(View.Version->PromptPrice.count()) +
          Statistics.CompletionTokens *
              static_cast<double>(View.Version->CompletionPrice.count())) /
         1000.0;
}

/// Estimates the 95th percentile of the time to the first token.
double firstTokenP95Ms(const version_view &View) {
  return View.QueueMs + View.Statistics.FirstTokenMs +
         P95Deviations * View.Statistics.FirstTokenDeviationMs;
}

/// A plan with the estimates that it is compared by.
struct candidate {
  route_plan Plan;
  double LowerQualityBound = 0;
  /// Upper confidence bound of the quality.
  double UpperQualityBound = 1;
  bool IsSuspect = false;
};

candidate singleCandidate(const version_view &View, double Width) {
  const rating_counts Ratings = sumBuckets(View.Ratings);
  candidate Candidate;
  Candidate.Plan.Stages = {{View.Version->Id, std::nullopt}};
  Candidate.Plan.ExpectedCost = costOf(View);
  Candidate.Plan.ExpectedQuality = meanQuality(Ratings);
  Candidate.Plan.ExpectedFirstTokenMs = firstTokenP95Ms(View);
  Candidate.LowerQualityBound = lowerQualityBound(Ratings, Width);
  Candidate.UpperQualityBound =
      upperQualityBound(Ratings, UpperBoundStandardErrors);
  Candidate.IsSuspect = View.IsSuspect;
  return Candidate;
}

/// Returns the cascade that accepts the answers of the cheap version from the
/// confidence bucket FirstBucket on, or nullopt if there are too few ratings.
std::optional<candidate> cascadeCandidate(const version_view &Cheap,
                                          const version_view &Strong,
                                          std::size_t FirstBucket,
                                          double Width) {
  const rating_counts All = sumBuckets(Cheap.Ratings);
  const rating_counts Accepted =
      sumBuckets(Cheap.Ratings, answer_role::Direct, FirstBucket);
  if (Accepted.Count < MinimumCascadeRatings ||
      All.Count < MinimumCascadeRatings)
    return std::nullopt;
  const double AcceptedShare =
      static_cast<double>(Accepted.Count) / static_cast<double>(All.Count);
  // Until there are enough ratings of escalated requests, uses those of the
  // other requests.
  rating_counts StrongRatings =
      Strong.Ratings[firstBucketIndex(answer_role::Escalated) + FirstBucket];
  if (StrongRatings.Count < MinimumCascadeRatings)
    StrongRatings = sumBuckets(Strong.Ratings);
  candidate Candidate;
  Candidate.Plan.Stages = {
      {Cheap.Version->Id, ConfidenceBucketLowerBounds[FirstBucket]},
      {Strong.Version->Id, std::nullopt}};
  Candidate.Plan.ExpectedCost =
      costOf(Cheap) + (1 - AcceptedShare) * costOf(Strong);
  Candidate.Plan.ExpectedQuality =
      AcceptedShare * meanQuality(Accepted) +
      (1 - AcceptedShare) * meanQuality(StrongRatings);
  Candidate.LowerQualityBound =
      AcceptedShare * lowerQualityBound(Accepted, Width) +
      (1 - AcceptedShare) * lowerQualityBound(StrongRatings, Width);
  Candidate.UpperQualityBound =
      AcceptedShare * upperQualityBound(Accepted, UpperBoundStandardErrors) +
      (1 - AcceptedShare) *
          upperQualityBound(StrongRatings, UpperBoundStandardErrors);
  // The cheap answer is withheld until it is accepted, and the slowest
  // requests take the time of both stages.
  Candidate.Plan.ExpectedFirstTokenMs =
      Cheap.QueueMs + Cheap.Statistics.TotalMs +
      P95Deviations * Cheap.Statistics.TotalDeviationMs +
      firstTokenP95Ms(Strong);
  Candidate.IsSuspect = Cheap.IsSuspect || Strong.IsSuspect;
  return Candidate;
}

bool mayServe(const version_view &View) {
  return View.IsAvailable && View.Version->State == version_state::Active;
}

std::vector<candidate> candidatesOf(const std::vector<version_view> &Views,
                                    double Width) {
  std::vector<candidate> Candidates;
  for (const auto &View : Views)
    if (mayServe(View))
      Candidates.push_back(singleCandidate(View, Width));
  // Only cascades that end in the strongest version are considered; the number
  // of all pairs grows with the square of the versions.
  const auto Strongest = std::max_element(
      Views.begin(), Views.end(), [](const auto &Left, const auto &Right) {
        const auto Key = [](const version_view &View) {
          return mayServe(View) ? meanQuality(sumBuckets(View.Ratings)) : -1.0;
        };
        return Key(Left) < Key(Right);
      });
  for (const auto &Cheap : Views) {
    if (!mayServe(Cheap) || Strongest == Views.end() || &Cheap == &*Strongest ||
        costOf(Cheap) >= costOf(*Strongest))
      continue;
    for (std::size_t Bucket = 1; Bucket < ConfidenceBucketCount; ++Bucket)
      if (auto Candidate = cascadeCandidate(Cheap, *Strongest, Bucket,
                                            CascadeStandardErrorFactor * Width))
        Candidates.push_back(std::move(*Candidate));
  }
  return Candidates;
}

std::string planNameOf(const route_plan &Plan) {
  std::string Name;
  for (const auto &Stage : Plan.Stages) {
    Name += (Name.empty() ? "" : " -> ") + Stage.Version.text();
    if (Stage.MinimumConfidence) {
      char Text[32];
      std::snprintf(Text, sizeof Text, " (accept >= %.2f)",
                    *Stage.MinimumConfidence);
      Name += Text;
    }
  }
  return Name;
}

std::string describeCandidate(const work_class &Class,
                              const candidate &Candidate) {
  char Text[200];
  std::snprintf(Text, sizeof Text,
                "%s%s%squality %.3f (lower %.3f, target %.3f), first token "
                "%.0f ms (target %lld), cost %.0f",
                Candidate.LowerQualityBound < Class.QualityTarget
                    ? "quality not shown; "
                    : "",
                Candidate.Plan.ExpectedFirstTokenMs >
                        static_cast<double>(Class.FirstTokenTarget.count())
                    ? "too slow; "
                    : "",
                Candidate.IsSuspect ? "suspect; " : "",
                Candidate.Plan.ExpectedQuality, Candidate.LowerQualityBound,
                Class.QualityTarget, Candidate.Plan.ExpectedFirstTokenMs,
                static_cast<long long>(Class.FirstTokenTarget.count()),
                Candidate.Plan.ExpectedCost);
  return Text;
}

/// Returns the cost, increased in proportion to the excess over the latency
/// target. Latency below the target has a small weight, so that of two plans of
/// similar cost the faster one is chosen.
double weightedCost(const work_class &Class, const candidate &Candidate) {
  const double Target =
      std::max<double>(1, static_cast<double>(Class.FirstTokenTarget.count()));
  const double Relative = Candidate.Plan.ExpectedFirstTokenMs / Target;
  const double Penalty = BelowTargetLatencyWeight * std::min(1.0, Relative) +
                         std::max(0.0, Relative - 1);
  return (Candidate.Plan.ExpectedCost + 1) *
         (1 + Class.LatencyWeight * Penalty);
}

/// Returns the proven plan with the lowest weighted cost; if no plan is proven
/// to meet the quality target, the most promising candidate.
const candidate &chooseBest(const work_class &Class,
                            const std::vector<candidate> &Candidates,
                            const std::vector<const candidate *> &Proven) {
  if (!Proven.empty())
    return **std::min_element(
        Proven.begin(), Proven.end(), [&](const auto *Left, const auto *Right) {
          return weightedCost(Class, *Left) < weightedCost(Class, *Right);
        });
  // No plan is known to meet the target. Chooses the highest upper bound; if
  // these are about equal, as without any ratings, the most expensive plan as
  // the most likely to meet the target. Choosing the highest lower bound would
  // keep a mediocre version for ever, since a better version that has never
  // served has no ratings to raise its lower bound.
  return *std::max_element(
      Candidates.begin(), Candidates.end(),
      [](const candidate &Left, const candidate &Right) {
        if (std::abs(Left.UpperQualityBound - Right.UpperQualityBound) > 0.02)
          return Left.UpperQualityBound < Right.UpperQualityBound;
        return Left.Plan.ExpectedCost < Right.Plan.ExpectedCost;
      });
}

} // namespace

void version_statistics::add(milliseconds TimeToFirstToken,
                             milliseconds TotalTime, token_count Prompt,
                             token_count Completion) {
  const auto First = static_cast<double>(TimeToFirstToken.count());
  FirstTokenDeviationMs = updatedMean(FirstTokenDeviationMs,
                                      std::abs(First - FirstTokenMs), Samples);
  FirstTokenMs = updatedMean(FirstTokenMs, First, Samples);
  const auto All = static_cast<double>(TotalTime.count());
  TotalDeviationMs =
      updatedMean(TotalDeviationMs, std::abs(All - TotalMs), Samples);
  TotalMs = updatedMean(TotalMs, All, Samples);
  PromptTokens =
      updatedMean(PromptTokens, static_cast<double>(Prompt.count()), Samples);
  CompletionTokens = updatedMean(
      CompletionTokens, static_cast<double>(Completion.count()), Samples);
  ++Samples;
}

double priorMean(double Sum, double Count) {
  return (Sum + PriorScore * PriorCount) / (Count + PriorCount);
}

double lowerMeanBound(double Sum, double Count, double Width) {
  const double Mean = priorMean(Sum, Count);
  return std::max(
      0.0, Mean - Width * std::sqrt(Mean * (1 - Mean) / (Count + PriorCount)));
}

double meanQuality(const rating_counts &Ratings) {
  return priorMean(Ratings.scoreSum(), static_cast<double>(Ratings.Count));
}

double lowerQualityBound(const rating_counts &Ratings, double Width) {
  return lowerMeanBound(Ratings.scoreSum(), static_cast<double>(Ratings.Count),
                        Width);
}

double upperQualityBound(const rating_counts &Ratings, double Width) {
  const double Mean = meanQuality(Ratings);
  const double Count = static_cast<double>(Ratings.Count) + PriorCount;
  return std::min(1.0, Mean + Width * std::sqrt(Mean * (1 - Mean) / Count));
}

double rollOutShare(const work_class &Class, const rating_counts &Ratings) {
  const double Weight = std::max(1.0, Class.ExposureWeight);
  const double Share =
      InitialRollOutShare + static_cast<double>(Ratings.Count) /
                                (RollOutRatingsPerFullShare * Weight);
  return std::min(0.5, Share);
}

std::optional<route_plan>
version_chooser::choose(const work_class &Class,
                        const std::vector<version_view> &Views,
                        std::vector<candidate_note> *Notes) {
  const double Width = LowerBoundStandardErrors *
                       std::sqrt(std::max(0.25, Class.ExposureWeight));
  const auto Candidates = candidatesOf(Views, Width);
  if (Candidates.empty())
    return std::nullopt;
  const bool SkipsSuspects = uniform() >= SuspectShare;
  std::vector<const candidate *> Proven;
  for (const auto &Candidate : Candidates)
    if (Candidate.LowerQualityBound >= Class.QualityTarget &&
        !(Candidate.IsSuspect && SkipsSuspects))
      Proven.push_back(&Candidate);
  const candidate &Chosen = chooseBest(Class, Candidates, Proven);
  if (Notes)
    for (const auto &Candidate : Candidates)
      Notes->push_back({planNameOf(Candidate.Plan),
                        (&Candidate == &Chosen ? "chosen: " : "") +
                            describeCandidate(Class, Candidate)});
  route_plan Plan = Chosen.Plan;
  const version_view *Substitute = chooseRollOut(Class, Views, Plan);
  if (Substitute) {
    Plan.Purpose = plan_purpose::RollOut;
  } else {
    Substitute = chooseExploration(Class, Views, Plan);
    if (Substitute)
      Plan.Purpose = plan_purpose::Explore;
  }
  if (Substitute) {
    Plan.Stages = {{Substitute->Version->Id, std::nullopt}};
    if (Notes)
      Notes->push_back({Substitute->Version->Id.text(),
                        Plan.Purpose == plan_purpose::Explore
                            ? "taken instead, to learn its quality"
                            : "taken instead, its share of the roll-out"});
  }
  return Plan;
}

/// Returns a cheaper version whose quality is undecided, for a share of the
/// requests that decreases with the number of its ratings; otherwise null.
const version_view *
version_chooser::chooseExploration(const work_class &Class,
                                   const std::vector<version_view> &Views,
                                   const route_plan &Choice) {
  if (uniform() >= MaximumExplorationShare)
    return nullptr;
  const version_view *LeastRated = nullptr;
  for (const auto &View : Views) {
    const rating_counts Ratings = sumBuckets(View.Ratings);
    const bool IsWorthExploring =
        mayServe(View) && !View.IsSuspect &&
        costOf(View) < Choice.ExpectedCost &&
        (Ratings.Count < MinimumDecidingRatings ||
         upperQualityBound(Ratings, UpperBoundStandardErrors) >=
             Class.QualityTarget);
    if (!IsWorthExploring)
      continue;
    if (!LeastRated || Ratings.Count < sumBuckets(LeastRated->Ratings).Count)
      LeastRated = &View;
  }
  if (!LeastRated)
    return nullptr;
  const rating_counts Ratings = sumBuckets(LeastRated->Ratings);
  const double DesiredShare = std::min(
      1.0, ExplorationRatings / (static_cast<double>(Ratings.Count) + 1));
  // Limits exploration so that the mean quality of all requests stays at the
  // target, apart from the minimum share.
  const double Slack = Choice.ExpectedQuality - Class.QualityTarget;
  const double Loss =
      std::max(0.01, Choice.ExpectedQuality - meanQuality(Ratings));
  const double AffordableShare =
      std::max(MinimumExplorationShare, Slack / Loss) / MaximumExplorationShare;
  return uniform() < std::min(DesiredShare, AffordableShare) ? LeastRated
                                                             : nullptr;
}

/// Returns a version under roll-out of the model that the plan ends in, for the
/// version's share of the requests; otherwise null.
const version_view *
version_chooser::chooseRollOut(const work_class &Class,
                               const std::vector<version_view> &Views,
                               const route_plan &Choice) {
  const version_id &Incumbent = Choice.Stages.back().Version;
  auto Found = std::find_if(Views.begin(), Views.end(), [&](const auto &View) {
    return View.Version->Id == Incumbent;
  });
  if (Found == Views.end())
    return nullptr;
  for (const auto &View : Views) {
    if (View.Version->State != version_state::RollingOut || !View.IsAvailable ||
        View.IsSuspect || View.Version->Model != Found->Version->Model)
      continue;
    if (uniform() < rollOutShare(Class, sumBuckets(View.Ratings)))
      return &View;
  }
  return nullptr;
}

} // namespace azurehaven
