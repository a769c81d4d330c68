#include "LibBench/policy_simulation.h"

#include "LibBench/bench_summary.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

simulation::simulation(workload Chosen, const bench_settings &Settings)
    : Workload(std::move(Chosen)), Settings(Settings), Random(Settings.Seed),
      Baseline(makeBaseline(Settings.Policy)) {
  for (const auto &Engine : Workload.Engines)
    Engines.emplace_back(Engine);
  ReportedLoads.resize(Engines.size());
  EngineIncarnations.resize(Engines.size());
  if (!Baseline)
    makeRouters();
  scheduleFault();
}

bench_outcome simulation::run() {
  for (std::size_t Index = 0; Index < Workload.Classes.size(); ++Index)
    scheduleArrival(Index, Start);
  Events.schedule(Start, [this] { reportLoads(); });
  Events.schedule(Start + GossipInterval, [this] { exchangeGossip(); });
  Events.schedule(Start + QueueInterval, [this] { advanceQueues(); });
  Events.schedule(Start + AutomationInterval, [this] { runAutomation(); });
  const steady_time End = timeAtSecond(Settings.DurationSeconds);
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
  applyVmList();
}

void simulation::applyVmList() {
  std::vector<listed_vm> List;
  for (const auto &Engine : Engines) {
    listed_vm ListedVm;
    ListedVm.Vm = vm_id(Engine.parameters().Id.text());
    ListedVm.Kind = vm_kind::Engine;
    // The port encodes the index of the engine, plus one.
    ListedVm.Address = {"127.0.0.1",
                        static_cast<std::uint16_t>(1 + &Engine - &Engines[0])};
    List.push_back(ListedVm);
  }
  for (auto &Router : Routers)
    Router->applyList(List, Settings.VmCount);
}

void simulation::scheduleFault() {
  // Faults affect the model of the first engine, which is the cheapest one and
  // serves the most requests.
  FaultTarget = Workload.Engines.front().Version;
  switch (Settings.Case) {
  case bench_case::SlightlyBad:
    Events.schedule(timeAtSecond(FaultSeconds),
                    [this] { degradeVersion(FaultTarget, 0.1); });
    break;
  case bench_case::VeryBad:
    Events.schedule(timeAtSecond(FaultSeconds),
                    [this] { degradeVersion(FaultTarget, 0.5); });
    break;
  case bench_case::HalfRollOut:
    Events.schedule(timeAtSecond(FaultSeconds), [this] {
      const version_id Next(
          Workload.Configuration.Versions.at(FaultTarget).Model.text() + "@2");
      degradeVersion(Next, 0.2);
      setVersionState(Next, version_state::RollingOut);
    });
    break;
  case bench_case::Loss:
    Events.schedule(timeAtSecond(FaultSeconds), [this] {
      for (std::size_t Index = 0; Index < Engines.size(); Index += 4)
        crashEngine(Index, std::chrono::hours(1));
    });
    break;
  case bench_case::CrashCausing:
    Events.schedule(timeAtSecond(FaultSeconds),
                    [this] { sendCrashCausingRequest(); });
    break;
  default:
    break;
  }
}

void simulation::degradeVersion(const version_id &Version, double Drop) {
  DegradedVersions.insert(Version);
  for (auto &[Key, Quality] : Workload.TrueQualities)
    if (Key.first == Version) {
      Quality.EasyQuality = std::max(0.0, Quality.EasyQuality - Drop);
      Quality.HardQuality = std::max(0.0, Quality.HardQuality - Drop);
    }
}

void simulation::setVersionState(const version_id &Version,
                                 version_state State) {
  const configuration Before = Workload.Configuration;
  Workload.Configuration.Versions.at(Version).State = State;
  ++Workload.Configuration.Version;
  for (auto &Router : Routers)
    Router->configurationChanged(Before, Workload.Configuration);
}

double simulation::rateFactor() const {
  const bool IsFlash = Settings.Case == bench_case::Flash &&
                       Now >= timeAtSecond(FaultSeconds) &&
                       Now < timeAtSecond(FlashEndSeconds);
  return IsFlash ? FlashFactor : 1;
}

client_account_id simulation::sampleAccount() {
  std::vector<double> Weights;
  for (std::size_t Index = 0; Index < Workload.Accounts.size(); ++Index) {
    const bool Floods = Settings.Case == bench_case::Flood && Index == 0 &&
                        Now >= timeAtSecond(FaultSeconds);
    Weights.push_back(Workload.Accounts[Index].RequestShare *
                      (Floods ? FloodFactor : 1));
  }
  return Workload
      .Accounts[std::discrete_distribution<std::size_t>(Weights.begin(),
                                                        Weights.end())(Random)]
      .Account;
}

void simulation::scheduleArrival(std::size_t ClassIndex, steady_time From) {
  double Rate = Workload.Classes[ClassIndex].RequestsPerSecond * rateFactor();
  // The flooding account normally sends a fifth of the requests.
  if (Settings.Case == bench_case::Flood && Now >= timeAtSecond(FaultSeconds))
    Rate *= 1 + (FloodFactor - 1) * 0.2;
  Events.schedule(
      From + fromMilliseconds(1000 * exponential(Rate)), [this, ClassIndex] {
        scheduleArrival(ClassIndex, Now);
        startRequest(Workload.Classes[ClassIndex], sampleAccount(), 0);
      });
}

void simulation::sendCrashCausingRequest() {
  startRequest(Workload.Classes.back(), Workload.Accounts.back().Account,
               CrashCausingFingerprint);
  Events.schedule(Now + CrashRetryInterval,
                  [this] { sendCrashCausingRequest(); });
}

void simulation::startRequest(const class_load &Class,
                              const client_account_id &Account,
                              std::uint64_t Fingerprint) {
  request_state State;
  State.Request.Index = States.size();
  State.Request.Vm = Random() % Settings.VmCount;
  State.Request.Class = Class.Class;
  State.Request.Account = Account;
  // Distinct for each request and never equal to CrashCausingFingerprint.
  State.Request.Fingerprint = Fingerprint ? Fingerprint : 1000 + States.size();
  State.Request.Tokens = Class.CompletionTokens * (0.5 + uniform());
  State.Request.ArrivedAt = Now;
  State.IsEasy = uniform() < Class.EasyShare;
  State.UnusedDraw = uniform();
  States.push_back(std::move(State));
  if (Baseline)
    placeByBaseline(States.back());
  else
    placeByRouter(States.back());
}

const work_class &simulation::classOf(const request_state &State) const {
  return Workload.Configuration.Classes.at(State.Request.Class);
}

const plan_stage &simulation::stageOf(const request_state &State) const {
  return State.Plan.Stages[State.Stage];
}

void simulation::applyAdmissionProgress(std::size_t Vm,
                                        const version_id &Version,
                                        const admission_progress &Progress) {
  for (admission_ticket Ticket : Progress.Admitted)
    if (auto Index = takeQueuedRequest({Vm, Version, Ticket}))
      admit(States[*Index], Ticket);
  for (const auto &[Ticket, RetryAfter] : Progress.Shed)
    if (auto Index = takeQueuedRequest({Vm, Version, Ticket}))
      skipStage(States[*Index]);
}

void simulation::scheduleRating(const request_state &State,
                                const version_id &Version, double Confidence,
                                double TrueQuality) {
  const double Score = uniform() < TrueQuality ? 1 : 0;
  Events.schedule(Now + RatingDelay, [this, Vm = State.Request.Vm, Version,
                                      Role = State.Role,
                                      Class = State.Request.Class, Confidence,
                                      Score] {
    Routers[Vm]->addRating({Version, Class}, Role, Confidence, Score);
  });
}

void simulation::completeRequest(request_state &State,
                                 const version_id &Version, double TrueQuality,
                                 bool WasHeld) {
  State.IsDone = true;
  State.IsAnswered = true;
  State.AnsweredBy = Version;
  State.TrueQuality = TrueQuality;
  // A response that may be escalated is sent only once it is complete.
  if (WasHeld)
    State.FirstTokenAt = Now;
  if (DegradedVersions.contains(Version)) {
    ++BadServed;
    if (State.Request.Vm == 0)
      ++BadServedByFirstVm;
  }
}

bench_outcome simulation::outcome() {
  bench_outcome Outcome =
      summarize(Workload, States, timeAtSecond(WarmUpSeconds),
                timeAtSecond(FaultSeconds));
  Outcome.BadServed = BadServed;
  Outcome.BadServedByFirstVm = BadServedByFirstVm;
  Outcome.WasWithdrawn = WasWithdrawn;
  Outcome.FalseAlarms = FalseAlarms;
  Outcome.EngineCrashes = EngineCrashes;
  if (DecisionCount > 0)
    Outcome.DecisionMicroseconds =
        std::chrono::duration<double, std::micro>(DecisionTime).count() /
        static_cast<double>(DecisionCount);
  return Outcome;
}

} // namespace azurehaven::bench
