#pragma once

#include "LibConfig/configuration.h"
#include "LibPeer/rating_counts.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace azurehaven {

/// Means of what one version's answers in one class took, learned here.
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

/// What is known of one version when a request is to be placed.
struct version_view {
  const model_version *Version = nullptr;
  bucket_counts Ratings{};
  version_statistics Statistics;
  /// Expected wait for a place on an endpoint.
  double QueueMs = 0;
  bool IsAvailable = false;
  /// The health tests speak against it.
  bool IsSuspect = false;
};

struct plan_stage {
  version_id Version;
  /// For all but the last stage: an answer of at least this confidence is
  /// given to the caller; any other leads on to the next stage.
  std::optional<double> MinimumConfidence;
};

enum class plan_purpose { Serve, Explore, RollOut };

/// One way to serve a request: a version, or a cascade of two.
struct route_plan {
  std::vector<plan_stage> Stages;
  plan_purpose Purpose = plan_purpose::Serve;
  double ExpectedCost = 0;
  double ExpectedQuality = 0;
  double ExpectedFirstTokenMs = 0;
};

/// Why one plan was taken or passed over, for operators.
struct candidate_note {
  std::string Plan;
  std::string Verdict;
};

/// Chooses the cheapest plan that meets the class's quality target with
/// confidence and its latency target. Quality goes before latency, latency
/// before cost. Not thread-safe.
class version_chooser {
public:
  explicit version_chooser(std::uint64_t Seed) : Random(Seed) {}

  /// Returns nullopt when no view has an endpoint. Notes may be null.
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

/// Share of an incumbent's requests that a version under roll-out may take
/// after so many ratings.
double rollOutShare(const work_class &Class, const rating_counts &Ratings);

/// Bounds of a mean score after its ratings; Width is in standard errors.
double lowerQualityBound(const rating_counts &Ratings, double Width);
double upperQualityBound(const rating_counts &Ratings, double Width);
double meanQuality(const rating_counts &Ratings);

} // namespace azurehaven
