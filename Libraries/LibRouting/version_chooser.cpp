#include "LibRouting/version_chooser.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace azurehaven {

namespace {

constexpr double SmoothingFactor = 0.05;
/// A prior of one rating of one half.
constexpr double PriorCount = 1;
constexpr double PriorScore = 0.5;
/// Standard errors that a neutral class asks of a quality estimate.
constexpr double QualityBoundStandardErrors = 0.5;
/// A cascade's quality is put together from several estimates.
constexpr double CascadeStandardErrorFactor = 3.0;
/// Share of requests that explore while a cheaper version might do.
constexpr double MaximumExplorationShare = 0.25;
/// Ratings after which the exploration of a version slows down.
constexpr double ExplorationRatings = 150;
/// Share of requests that explores even where the quality leaves no room.
constexpr double MinimumExplorationShare = 0.02;
/// Standard errors within which a version's quality counts as undecided.
constexpr double UndecidedStandardErrors = 3.0;
/// With fewer ratings than this nothing is decided.
constexpr std::uint64_t MinimumDecidingRatings = 20;
/// Answers of the cheap stage needed before a cascade is considered.
constexpr std::uint64_t MinimumCascadeRatings = 30;
constexpr double InitialRollOutShare = 0.02;
constexpr double RollOutRatingsToFull = 500;
/// Share of requests that a suspect version keeps, for evidence.
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

/// An estimate of the 95th percentile of the time to the first token.
double firstTokenP95Ms(const version_view &View) {
  return View.QueueMs + View.Statistics.FirstTokenMs +
         P95Deviations * View.Statistics.FirstTokenDeviationMs;
}

/// A plan with the estimates that it is judged by.
struct candidate {
  route_plan Plan;
  double LowerQualityBound = 0;
  /// What the quality may be at best, as far as is known.
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
      upperQualityBound(Ratings, UndecidedStandardErrors);
  Candidate.IsSuspect = View.IsSuspect;
  return Candidate;
}

/// The cascade that accepts the cheap answer from bucket FirstBucket on.
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
  // Until there are ratings of escalated requests, the others stand in.
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
      AcceptedShare * upperQualityBound(Accepted, UndecidedStandardErrors) +
      (1 - AcceptedShare) *
          upperQualityBound(StrongRatings, UndecidedStandardErrors);
  // The cheap answer is held until it is accepted, and the tail of the
  // requests pays for both stages.
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
  // A cascade of every pair would grow with the square of the versions.
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

/// Cost, raised by the excess over the latency target. Time below the target
/// counts a little, so that of two plans of like cost the faster one is taken.
double weightedCost(const work_class &Class, const candidate &Candidate) {
  const double Target =
      std::max<double>(1, static_cast<double>(Class.FirstTokenTarget.count()));
  const double Relative = Candidate.Plan.ExpectedFirstTokenMs / Target;
  const double Penalty = BelowTargetLatencyWeight * std::min(1.0, Relative) +
                         std::max(0.0, Relative - 1);
  return (Candidate.Plan.ExpectedCost + 1) *
         (1 + Class.LatencyWeight * Penalty);
}

const candidate &chooseBest(const work_class &Class,
                            const std::vector<candidate> &Candidates,
                            const std::vector<const candidate *> &Proven) {
  if (!Proven.empty())
    return **std::min_element(
        Proven.begin(), Proven.end(), [&](const auto *Left, const auto *Right) {
          return weightedCost(Class, *Left) < weightedCost(Class, *Right);
        });
  // Nothing is known to meet the target: what may be best, and where nothing is
  // known at all, the dearest version as the likeliest to meet it. The best
  // lower bound would stay with a mediocre version for ever, since a better one
  // that has never served has none.
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

double meanQuality(const rating_counts &Ratings) {
  return (Ratings.scoreSum() + PriorScore * PriorCount) /
         (static_cast<double>(Ratings.Count) + PriorCount);
}

double lowerQualityBound(const rating_counts &Ratings, double Width) {
  const double Mean = meanQuality(Ratings);
  const double Count = static_cast<double>(Ratings.Count) + PriorCount;
  return std::max(0.0, Mean - Width * std::sqrt(Mean * (1 - Mean) / Count));
}

double upperQualityBound(const rating_counts &Ratings, double Width) {
  const double Mean = meanQuality(Ratings);
  const double Count = static_cast<double>(Ratings.Count) + PriorCount;
  return std::min(1.0, Mean + Width * std::sqrt(Mean * (1 - Mean) / Count));
}

double rollOutShare(const work_class &Class, const rating_counts &Ratings) {
  const double Weight = std::max(1.0, Class.ExposureWeight);
  const double Share =
      InitialRollOutShare +
      static_cast<double>(Ratings.Count) / (RollOutRatingsToFull * Weight);
  return std::min(0.5, Share);
}

std::optional<route_plan>
version_chooser::choose(const work_class &Class,
                        const std::vector<version_view> &Views,
                        std::vector<candidate_note> *Notes) {
  const double Width = QualityBoundStandardErrors *
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

/// A cheaper version whose quality is still undecided is worth a share of the
/// requests that falls as its ratings come in.
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
         upperQualityBound(Ratings, UndecidedStandardErrors) >=
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
  // No more than keeps the mean quality of all requests at its target.
  const double Slack = Choice.ExpectedQuality - Class.QualityTarget;
  const double Loss =
      std::max(0.01, Choice.ExpectedQuality - meanQuality(Ratings));
  const double AffordableShare =
      std::max(MinimumExplorationShare, Slack / Loss) / MaximumExplorationShare;
  return uniform() < std::min(DesiredShare, AffordableShare) ? LeastRated
                                                             : nullptr;
}

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
