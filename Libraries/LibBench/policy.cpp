#include "LibBench/policy.h"

#include <algorithm>
#include <limits>

namespace azurehaven::bench {

namespace {

std::vector<std::size_t> findAvailableEngines(const version_id &Version,
                                              const bench_view &View) {
  std::vector<std::size_t> Found;
  for (std::size_t Index = 0; Index < View.Engines->size(); ++Index) {
    const virtual_engine &Engine = (*View.Engines)[Index];
    if (Engine.isUp() && Engine.hosts(Version))
      Found.push_back(Index);
  }
  return Found;
}

bool isServing(const model_version &Version) {
  return Version.State == version_state::Active ||
         Version.State == version_state::RollingOut;
}

std::vector<const model_version *> servingVersions(const bench_view &View) {
  std::vector<const model_version *> Found;
  for (const auto &[Id, Version] : View.Workload->Configuration.Versions)
    if (isServing(Version))
      Found.push_back(&Version);
  return Found;
}

double costOf(const model_version &Version, const class_load &Class) {
  return (Class.PromptTokens *
              static_cast<double>(Version.PromptPrice.count()) +
          Class.CompletionTokens *
              static_cast<double>(Version.CompletionPrice.count())) /
         1000;
}

const class_load &classLoadOf(const class_id &Class, const bench_view &View) {
  return *std::find_if(
      View.Workload->Classes.begin(), View.Workload->Classes.end(),
      [&](const class_load &Load) { return Load.Class == Class; });
}

/// Common base of the policies that a real router could run: chooseEngine()
/// returns the engine of a version with the lowest reported load.
class reported_load_policy : public baseline_policy {
public:
  std::size_t chooseEngine(const version_id &Version,
                           const bench_view &View) override {
    const auto Candidates = findAvailableEngines(Version, View);
    if (Candidates.empty())
      return View.Engines->size();
    return *std::min_element(Candidates.begin(), Candidates.end(),
                             [&](std::size_t Left, std::size_t Right) {
                               return (*View.ReportedLoads)[Left] <
                                      (*View.ReportedLoads)[Right];
                             });
  }

protected:
  std::optional<placement> placeOn(const version_id &Version,
                                   const bench_view &View) {
    const std::size_t Engine = chooseEngine(Version, View);
    if (Engine == View.Engines->size())
      return std::nullopt;
    return placement{Version, Engine, std::nullopt, {}};
  }

  static const model_version *findVersionByPrice(const bench_view &View,
                                                 bool MostExpensive) {
    const model_version *Best = nullptr;
    for (const model_version *Version : servingVersions(View)) {
      const bool IsBetter =
          !Best ||
          (MostExpensive ? Version->CompletionPrice > Best->CompletionPrice
                         : Version->CompletionPrice < Best->CompletionPrice);
      if (IsBetter)
        Best = Version;
    }
    return Best;
  }
};

/// Uses the available engines in turn, whatever their load and version.
class round_robin_policy : public reported_load_policy {
public:
  std::optional<placement> place(const bench_request &,
                                 const bench_view &View) override {
    for (std::size_t Attempt = 0; Attempt < View.Engines->size(); ++Attempt) {
      const std::size_t Index = NextEngine++ % View.Engines->size();
      const virtual_engine &Engine = (*View.Engines)[Index];
      const model_version *Version =
          View.Workload->Configuration.findVersion(Engine.parameters().Version);
      if (Engine.isUp() && isServing(*Version))
        return placement{Version->Id, Index, std::nullopt, {}};
    }
    return std::nullopt;
  }

private:
  std::size_t NextEngine = 0;
};

/// Uses the engine with the lowest reported load, whatever its version.
class least_loaded_policy : public reported_load_policy {
public:
  std::optional<placement> place(const bench_request &,
                                 const bench_view &View) override {
    std::optional<placement> Best;
    unsigned BestLoad = std::numeric_limits<unsigned>::max();
    for (const model_version *Version : servingVersions(View)) {
      auto Placement = placeOn(Version->Id, View);
      if (!Placement ||
          (*View.ReportedLoads)[Placement->EngineIndex] >= BestLoad)
        continue;
      BestLoad = (*View.ReportedLoads)[Placement->EngineIndex];
      Best = Placement;
    }
    return Best;
  }
};

/// Uses the version with the highest completion price, which stands for the
/// largest model.
class largest_policy : public reported_load_policy {
public:
  std::optional<placement> place(const bench_request &,
                                 const bench_view &View) override {
    return placeOn(findVersionByPrice(View, true)->Id, View);
  }
};

/// Uses the cheapest version first and escalates responses below a fixed
/// confidence to the most expensive one.
class static_cascade_policy : public reported_load_policy {
public:
  std::optional<placement> place(const bench_request &,
                                 const bench_view &View) override {
    constexpr double Threshold = 0.7;
    auto Placement = placeOn(findVersionByPrice(View, false)->Id, View);
    if (Placement) {
      Placement->MinimumConfidence = Threshold;
      Placement->EscalationVersion = findVersionByPrice(View, true)->Id;
    }
    return Placement;
  }
};

/// Reads the true quality of every version, the set of degraded versions and
/// the exact load of the engines, none of which a real router can know.
class oracle_policy : public baseline_policy {
public:
  std::optional<placement> place(const bench_request &Request,
                                 const bench_view &View) override {
    const work_class &Class =
        View.Workload->Configuration.Classes.at(Request.Class);
    const class_load &Arrivals = classLoadOf(Request.Class, View);
    std::optional<placement> Best;
    double BestScore = std::numeric_limits<double>::max();
    for (const model_version *Version : servingVersions(View)) {
      if (View.DegradedVersions->contains(Version->Id))
        continue;
      const std::size_t Engine = chooseEngine(Version->Id, View);
      if (Engine == View.Engines->size())
        continue;
      const virtual_engine &Chosen = (*View.Engines)[Engine];
      const double Quality =
          View.Workload->TrueQualities.at({Version->Id, Request.Class})
              .mean(Arrivals.EasyShare);
      const double FirstToken =
          Chosen.expectedWaitMs() + Chosen.parameters().FirstTokenMs;
      const double Target = static_cast<double>(Class.FirstTokenTarget.count());
      double Score =
          costOf(*Version, Arrivals) *
          (1 + Class.LatencyWeight * std::max(0.0, FirstToken / Target - 1));
      // The penalty far exceeds the costs, so that a version below the quality
      // target is chosen only if no version reaches it.
      if (Quality < Class.QualityTarget)
        Score += 1e9 * (Class.QualityTarget - Quality);
      if (Score < BestScore) {
        BestScore = Score;
        Best = placement{Version->Id, Engine, std::nullopt, {}};
      }
    }
    return Best;
  }

  std::size_t chooseEngine(const version_id &Version,
                           const bench_view &View) override {
    const auto Candidates = findAvailableEngines(Version, View);
    if (Candidates.empty())
      return View.Engines->size();
    return *std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](std::size_t Left, std::size_t Right) {
          const auto &LeftEngine = (*View.Engines)[Left];
          const auto &RightEngine = (*View.Engines)[Right];
          return std::pair(LeftEngine.expectedWaitMs(), LeftEngine.load()) <
                 std::pair(RightEngine.expectedWaitMs(), RightEngine.load());
        });
  }
};

} // namespace

std::unique_ptr<baseline_policy> makeBaseline(const std::string &Name) {
  if (Name == "round-robin")
    return std::make_unique<round_robin_policy>();
  if (Name == "least-loaded")
    return std::make_unique<least_loaded_policy>();
  if (Name == "largest")
    return std::make_unique<largest_policy>();
  if (Name == "static-cascade")
    return std::make_unique<static_cascade_policy>();
  if (Name == "oracle")
    return std::make_unique<oracle_policy>();
  return nullptr;
}

} // namespace azurehaven::bench
