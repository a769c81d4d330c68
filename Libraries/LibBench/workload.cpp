#include "LibBench/workload.h"

namespace azurehaven::bench {

namespace {

struct model_spec {
  const char *Model;
  std::int64_t PromptPrice;
  std::int64_t CompletionPrice;
  unsigned Engines;
  double FirstTokenMs;
  double TokenMs;
  /// Mean quality in each class, in the order of the workload's classes.
  std::vector<double> Quality;
};

struct class_spec {
  const char *Id;
  double QualityTarget;
  int FirstTokenMs;
  double RequestsPerSecond;
  double CompletionTokens;
  int Priority;
};

struct weights {
  double Latency;
  double Exposure;
};

constexpr double EasyShare = 0.6;
constexpr double EasyQuality = 0.985;
constexpr unsigned SlotsPerEngine = 8;
constexpr milliseconds RequestDeadline{60000};

/// Sets the quality of hard requests so that the mean over easy and hard ones
/// is Mean.
true_quality makeTrueQuality(double Mean) {
  true_quality Actual;
  Actual.EasyQuality = std::max(EasyQuality, Mean);
  Actual.HardQuality =
      (Mean - EasyShare * Actual.EasyQuality) / (1 - EasyShare);
  return Actual;
}

void addClass(workload &Workload, const class_spec &Spec,
              const weights &Weights) {
  work_class Class;
  Class.Id = class_id(Spec.Id);
  Class.QualityTarget = Spec.QualityTarget;
  Class.FirstTokenTarget = milliseconds(Spec.FirstTokenMs);
  Class.Deadline = RequestDeadline;
  Class.LatencyWeight = Weights.Latency;
  Class.ExposureWeight = Weights.Exposure;
  Class.Priority = Spec.Priority;
  Workload.Configuration.Classes.emplace(Class.Id, Class);
  class_load Arrivals;
  Arrivals.Class = Class.Id;
  Arrivals.RequestsPerSecond = Spec.RequestsPerSecond;
  Arrivals.CompletionTokens = Spec.CompletionTokens;
  Arrivals.EasyShare = EasyShare;
  Workload.Classes.push_back(Arrivals);
}

/// Adds two versions of a model, both loaded on all of its engines. The second
/// one starts withdrawn; the case HalfRollOut rolls it out.
void addModel(workload &Workload, const model_spec &Spec) {
  const std::string Model = Spec.Model;
  for (const char *Suffix : {"@1", "@2"}) {
    model_version Version;
    Version.Id = version_id(Model + Suffix);
    Version.Model = model_id(Model);
    Version.PromptPrice = micro_euros(Spec.PromptPrice);
    Version.CompletionPrice = micro_euros(Spec.CompletionPrice);
    Version.State = std::string(Suffix) == "@1" ? version_state::Active
                                                : version_state::Withdrawn;
    Workload.Configuration.Versions.emplace(Version.Id, Version);
    for (std::size_t Index = 0; Index < Workload.Classes.size(); ++Index)
      Workload.TrueQualities[{Version.Id, Workload.Classes[Index].Class}] =
          makeTrueQuality(Spec.Quality[Index]);
  }
  for (unsigned Index = 0; Index < Spec.Engines; ++Index) {
    engine_parameters Engine;
    Engine.Id = endpoint_id(Model + "-" + std::to_string(Index));
    Engine.Version = version_id(Model + "@1");
    Engine.RollOutVersions = {version_id(Model + "@2")};
    Engine.Slots = SlotsPerEngine;
    Engine.FirstTokenMs = Spec.FirstTokenMs;
    Engine.TokenMs = Spec.TokenMs;
    Workload.Engines.push_back(Engine);
  }
}

/// Adds ten accounts with equal shares of the capacity. Three of them send 20%
/// of the requests each, the other seven the rest.
void addAccounts(workload &Workload) {
  for (int Index = 0; Index < 10; ++Index) {
    client_account Account;
    Account.Id = client_account_id("account-" + std::to_string(Index));
    for (const auto &[Id, Version] : Workload.Configuration.Versions)
      Account.AllowedModels.insert(Version.Model);
    Workload.Configuration.Accounts.emplace(Account.Id, Account);
    Workload.Accounts.push_back({Account.Id, Index < 3 ? 2.0 : 4.0 / 7});
  }
}

workload makeWorkload(const char *Name, const weights &Weights,
                      const std::vector<class_spec> &Classes,
                      const std::vector<model_spec> &Models) {
  workload Workload;
  Workload.Name = Name;
  Workload.Configuration.Version = 1;
  for (const auto &Spec : Classes)
    addClass(Workload, Spec, Weights);
  for (const auto &Spec : Models)
    addModel(Workload, Spec);
  addAccounts(Workload);
  return Workload;
}

} // namespace

workload kairnsWorkload() {
  return makeWorkload("kairns", {4, 1},
                      {{"survey", 0.90, 3000, 0.8, 300, 4},
                       {"manual", 0.85, 2000, 1.5, 200, 5},
                       {"ridge-question", 0.80, 500, 6, 40, 8}},
                      {{"scree", 20, 60, 3, 60, 8, {0.70, 0.78, 0.88}},
                       {"ridge", 80, 240, 3, 120, 15, {0.83, 0.91, 0.95}},
                       {"summit", 400, 1200, 4, 250, 25, {0.95, 0.96, 0.97}}});
}

workload cwtchWorkload() {
  return makeWorkload("cwtch", {1, 3},
                      {{"season-plan", 0.92, 5000, 0.5, 500, 4},
                       {"explanation", 0.86, 2000, 2, 120, 6},
                       {"stall-check", 0.80, 800, 5, 30, 7}},
                      {{"hut", 15, 45, 4, 60, 8, {0.66, 0.79, 0.87}},
                       {"stall", 70, 210, 4, 120, 15, {0.82, 0.91, 0.95}},
                       {"market", 350, 1050, 4, 250, 25, {0.96, 0.97, 0.98}}});
}

} // namespace azurehaven::bench
