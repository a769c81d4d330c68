#pragma once

#include "LibConfig/configuration.h"
#include "LibPeer/rating_counts.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace azurehaven {

/// Moving averages over the answers of one version, one class or a pair of
/// them, as measured on this VM. A deviation is the mean absolute deviation.
struct version_statistics {
  double FirstTokenMs = 300;
  double FirstTokenDeviationMs = 100;
  double TotalMs = 2000;
  double TotalDeviationMs = 500;
  double PromptTokens = 200;
  double CompletionTokens = 200;
  std::uint64_t Samples = 0;

  void add(milliseconds TimeToFirstToken, milliseconds TotalTime,
           token_count Prompt, token_count Completion);
};

/// Ratings, statistics and availability of one version at the time of a choice.
struct version_view {
  const model_version *Version = nullptr;
  bucket_counts Ratings{};
  version_statistics Statistics;
  /// Expected wait in the admission queue.
  double QueueMs = 0;
  /// Has a usable endpoint and no health alarm.
  bool IsAvailable = false;
  /// The health tests have found some evidence of a drop.
  bool IsSuspect = false;
};

struct plan_stage {
  version_id Version;
  /// Set for all but the last stage: an answer of at least this confidence goes
  /// to the caller; any other escalates the request to the next stage.
  std::optional<double> MinimumConfidence;
};

enum class plan_purpose { Serve, Explore, RollOut };

/// The versions that serve a request: one, or a cascade of two.
struct route_plan {
  std::vector<plan_stage> Stages;
  plan_purpose Purpose = plan_purpose::Serve;
  double ExpectedCost = 0;
  double ExpectedQuality = 0;
  double ExpectedFirstTokenMs = 0;
};

/// A candidate plan with the estimates that it was chosen or rejected for, for
/// operators.
struct candidate_note {
  std::string Plan;
  std::string Verdict;
};

/// Chooses, among the plans whose lower quality bound meets the class's quality
/// target, the one with the lowest cost, which is increased in proportion to
/// the excess over the latency target. Quality thus takes precedence over
/// latency and cost. Not thread-safe.
class version_chooser {
public:
  explicit version_chooser(std::uint64_t Seed) : Random(Seed) {}

  /// Returns nullopt if no active version is available. Notes may be null.
  std::optional<route_plan> choose(const work_class &Class,
                                   const std::vector<version_view> &Views,
                                   std::vector<candidate_note> *Notes);

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  const version_view *chooseExploration(const work_class &Class,
                                        const std::vector<version_view> &Views,
                                        const route_plan &Choice);
  const version_view *chooseRollOut(const work_class &Class,
                                    const std::vector<version_view> &Views,
                                    const route_plan &Choice);

  std::mt19937_64 Random;
};

/// Share of the incumbent's requests that a version under roll-out with these
/// ratings gets.
double rollOutShare(const work_class &Class, const rating_counts &Ratings);

/// Mean of Count scores in [0, 1] with the given sum and of a prior, and its
/// lower confidence bound; Width is in standard errors.
double priorMean(double Sum, double Count);
double lowerMeanBound(double Sum, double Count, double Width);

/// Confidence bounds of the mean score; Width is in standard errors.
double lowerQualityBound(const rating_counts &Ratings, double Width);
double upperQualityBound(const rating_counts &Ratings, double Width);
double meanQuality(const rating_counts &Ratings);

} // namespace azurehaven
