#include "LibBench/policy_simulation.h"

#include "LibBench/bench_summary.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

simulation::simulation(workload Chosen, const bench_settings &Settings)
    : Load(std::move(Chosen)), Settings(Settings), Random(Settings.Seed),
      Baseline(makeBaseline(Settings.Policy)) {
  for (const auto &Engine : Load.Engines)
    Engines.emplace_back(Engine);
  ReportedLoads.resize(Engines.size());
  EngineRuns.resize(Engines.size());
  if (!Baseline)
    makeRouters();
  prepareCase();
}

bench_outcome simulation::run() {
  for (std::size_t Index = 0; Index < Load.Classes.size(); ++Index)
    scheduleArrival(Index, Start);
  Events.schedule(Start, [this] { reportLoads(); });
  Events.schedule(Start + GossipInterval, [this] { gossip(); });
  Events.schedule(Start + QueueInterval, [this] { advanceQueues(); });
  Events.schedule(Start + AutomationInterval, [this] { automate(); });
  const steady_time End = atSecond(Settings.Seconds);
  Events.runUntil(End, Now);
  return outcome();
}

double simulation::uniform() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

double simulation::exponential(double Rate) {
  return std::exponential_distribution<double>(Rate)(Random);
}

void simulation::makeRouters() {
  for (std::size_t Vm = 0; Vm < Settings.VmCount; ++Vm)
    Routers.push_back(std::make_unique<router>(
        vm_id("vm-" + std::to_string(Vm)), 1, Settings.Seed * 100 + Vm,
        drop_test_settings{}));
  applyLists();
}

void simulation::applyLists() {
  std::vector<listed_vm> List;
  for (const auto &Engine : Engines) {
    listed_vm Line;
    Line.Vm = vm_id(Engine.truth().Id.text());
    Line.Kind = vm_kind::Engine;
    // The address's port carries the engine's index.
    Line.Address = {"127.0.0.1",
                    static_cast<std::uint16_t>(1 + &Engine - &Engines[0])};
    List.push_back(Line);
  }
  for (auto &Router : Routers)
    Router->applyList(List, Settings.VmCount);
}

void simulation::prepareCase() {
  // The version whose loss hurts: the one that most requests run on.
  Victim = Load.Engines.front().Version;
  switch (Settings.Case) {
  case bench_case::SlightlyBad:
    Events.schedule(atSecond(FaultSeconds), [this] { turnBad(Victim, 0.1); });
    break;
  case bench_case::VeryBad:
    Events.schedule(atSecond(FaultSeconds), [this] { turnBad(Victim, 0.5); });
    break;
  case bench_case::HalfRollOut:
    Events.schedule(atSecond(FaultSeconds), [this] {
      const version_id Next(
          Load.Configuration.Versions.at(Victim).Model.text() + "@2");
      turnBad(Next, 0.2);
      setState(Next, version_state::RollingOut);
    });
    break;
  case bench_case::Loss:
    Events.schedule(atSecond(FaultSeconds), [this] {
      for (std::size_t Index = 0; Index < Engines.size(); Index += 4)
        breakDown(Index, std::chrono::hours(1));
    });
    break;
  case bench_case::CrashCausing:
    Events.schedule(atSecond(FaultSeconds), [this] { sendPoison(); });
    break;
  default:
    break;
  }
}

void simulation::turnBad(const version_id &Version, double Drop) {
  BadVersions.insert(Version);
  for (auto &[Key, Truth] : Load.Truths)
    if (Key.first == Version) {
      Truth.EasyQuality = std::max(0.0, Truth.EasyQuality - Drop);
      Truth.HardQuality = std::max(0.0, Truth.HardQuality - Drop);
    }
}

void simulation::setState(const version_id &Version, version_state State) {
  const configuration Before = Load.Configuration;
  Load.Configuration.Versions.at(Version).State = State;
  ++Load.Configuration.Version;
  for (auto &Router : Routers)
    Router->configurationChanged(Before, Load.Configuration);
}

double simulation::rateFactor() const {
  const bool IsFlash = Settings.Case == bench_case::Flash &&
                       Now >= atSecond(FaultSeconds) &&
                       Now < atSecond(FlashEndSeconds);
  return IsFlash ? FlashFactor : 1;
}

client_account_id simulation::drawAccount() {
  std::vector<double> Parts;
  for (std::size_t Index = 0; Index < Load.Accounts.size(); ++Index) {
    const bool Floods = Settings.Case == bench_case::Flood && Index == 0 &&
                        Now >= atSecond(FaultSeconds);
    Parts.push_back(Load.Accounts[Index].Part * (Floods ? FloodFactor : 1));
  }
  return Load
      .Accounts[std::discrete_distribution<std::size_t>(Parts.begin(),
                                                        Parts.end())(Random)]
      .Account;
}

void simulation::scheduleArrival(std::size_t ClassIndex, steady_time From) {
  double Rate = Load.Classes[ClassIndex].RequestsPerSecond * rateFactor();
  if (Settings.Case == bench_case::Flood && Now >= atSecond(FaultSeconds))
    Rate *= 1 + (FloodFactor - 1) * 0.2;
  Events.schedule(From + millis(1000 * exponential(Rate)), [this, ClassIndex] {
    scheduleArrival(ClassIndex, Now);
    arrive(Load.Classes[ClassIndex], drawAccount(), 0);
  });
}

void simulation::sendPoison() {
  arrive(Load.Classes.back(), Load.Accounts.back().Account, PoisonFingerprint);
  Events.schedule(Now + CrashRetryInterval, [this] { sendPoison(); });
}

void simulation::arrive(const class_load &Class,
                        const client_account_id &Account,
                        std::uint64_t Fingerprint) {
  flow Flow;
  Flow.Request.Index = Flows.size();
  Flow.Request.Vm = Random() % Settings.VmCount;
  Flow.Request.Class = Class.Class;
  Flow.Request.Account = Account;
  Flow.Request.Fingerprint = Fingerprint ? Fingerprint : 1000 + Flows.size();
  Flow.Request.Tokens = Class.CompletionTokens * (0.5 + uniform());
  Flow.Request.ArrivedAt = Now;
  Flow.IsEasy = uniform() < Class.EasyShare;
  Flow.Luck = uniform();
  Flows.push_back(std::move(Flow));
  if (Baseline)
    placeByBaseline(Flows.back());
  else
    placeByRouter(Flows.back());
}

const work_class &simulation::classOf(const flow &Flow) const {
  return Load.Configuration.Classes.at(Flow.Request.Class);
}

const plan_stage &simulation::stageOf(const flow &Flow) const {
  return Flow.Plan.Stages[Flow.Stage];
}

void simulation::play(std::size_t Vm, const version_id &Version,
                      const admission_progress &Progress) {
  for (admission_ticket Ticket : Progress.Admitted)
    if (auto Index = takeWaiting({Vm, Version, Ticket}))
      admit(Flows[*Index], Ticket);
  for (const auto &[Ticket, RetryAfter] : Progress.Shed)
    if (auto Index = takeWaiting({Vm, Version, Ticket}))
      passStageOver(Flows[*Index]);
}

void simulation::scheduleRating(const flow &Flow, const version_id &Version,
                                double Confidence, double Goodness) {
  const double Score = uniform() < Goodness ? 1 : 0;
  Events.schedule(
      Now + RatingLag, [this, Vm = Flow.Request.Vm, Version, Role = Flow.Role,
                        Class = Flow.Request.Class, Confidence, Score] {
        Routers[Vm]->addRating({Version, Class}, Role, Confidence, Score);
      });
}

void simulation::answer(flow &Flow, const version_id &Version, double Goodness,
                        bool WasHeld) {
  Flow.IsDone = true;
  Flow.IsAnswered = true;
  Flow.AnsweredBy = Version;
  Flow.Goodness = Goodness;
  // A held answer of a cascade is shown when it is whole.
  if (WasHeld)
    Flow.FirstTokenAt = Now;
  if (BadVersions.contains(Version)) {
    ++BadServed;
    if (Flow.Request.Vm == 0)
      ++BadServedByFirstVm;
  }
}

bench_outcome simulation::outcome() {
  bench_outcome Outcome =
      summarize(Load, Flows, atSecond(WarmUpSeconds), atSecond(FaultSeconds));
  Outcome.BadServed = BadServed;
  Outcome.BadServedByFirstVm = BadServedByFirstVm;
  Outcome.WasWithdrawn = WasWithdrawn;
  Outcome.FalseAlarms = FalseAlarms;
  Outcome.Breakdowns = Breakdowns;
  if (DecisionCount > 0)
    Outcome.DecisionMicros =
        std::chrono::duration<double, std::micro>(DecisionTime).count() /
        static_cast<double>(DecisionCount);
  return Outcome;
}

} // namespace azurehaven::bench
