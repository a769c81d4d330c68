#include "LibBench/policy_bench.h"

#include "LibBench/bench_flow.h"
#include "LibBench/bench_summary.h"
#include "LibBench/event_queue.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

namespace {

constexpr double WarmUpSeconds = 300;
constexpr double FaultSeconds = 400;
constexpr double FlashEndSeconds = 460;
constexpr double FlashFactor = 4;
constexpr double FloodFactor = 10;
constexpr milliseconds GossipInterval{500};
constexpr milliseconds ReportInterval{250};
constexpr milliseconds LateReportAge{3000};
constexpr milliseconds QueueInterval{20};
constexpr milliseconds AutomationInterval{500};
constexpr milliseconds ConfigurationDelay{200};
constexpr milliseconds RatingLag{2000};
constexpr milliseconds RestartTime{5000};
constexpr milliseconds CrashRetryInterval{20000};
constexpr int QueuePatience = 4;
const steady_time Start{std::chrono::hours(1)};

steady_time atSecond(double Seconds) {
  return Start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                     std::chrono::duration<double>(Seconds));
}

std::chrono::nanoseconds millis(double Count) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(Count));
}

class simulation {
public:
  simulation(workload Chosen, const bench_settings &Settings)
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

  bench_outcome run() {
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

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  double exponential(double Rate) {
    return std::exponential_distribution<double>(Rate)(Random);
  }

  void makeRouters() {
    for (std::size_t Vm = 0; Vm < Settings.VmCount; ++Vm)
      Routers.push_back(std::make_unique<router>(
          vm_id("vm-" + std::to_string(Vm)), 1, Settings.Seed * 100 + Vm,
          drop_test_settings{}));
    applyLists();
  }

  void applyLists() {
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

  void prepareCase() {
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

  void turnBad(const version_id &Version, double Drop) {
    BadVersions.insert(Version);
    for (auto &[Key, Truth] : Load.Truths)
      if (Key.first == Version) {
        Truth.EasyQuality = std::max(0.0, Truth.EasyQuality - Drop);
        Truth.HardQuality = std::max(0.0, Truth.HardQuality - Drop);
      }
  }

  void setState(const version_id &Version, version_state State) {
    const configuration Before = Load.Configuration;
    Load.Configuration.Versions.at(Version).State = State;
    ++Load.Configuration.Version;
    for (auto &Router : Routers)
      Router->configurationChanged(Before, Load.Configuration);
  }

  double rateFactor() const {
    const bool IsFlash = Settings.Case == bench_case::Flash &&
                         Now >= atSecond(FaultSeconds) &&
                         Now < atSecond(FlashEndSeconds);
    return IsFlash ? FlashFactor : 1;
  }

  client_account_id drawAccount() {
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

  void scheduleArrival(std::size_t ClassIndex, steady_time From) {
    double Rate = Load.Classes[ClassIndex].RequestsPerSecond * rateFactor();
    if (Settings.Case == bench_case::Flood && Now >= atSecond(FaultSeconds))
      Rate *= 1 + (FloodFactor - 1) * 0.2;
    Events.schedule(From + millis(1000 * exponential(Rate)),
                    [this, ClassIndex] {
                      scheduleArrival(ClassIndex, Now);
                      arrive(Load.Classes[ClassIndex], drawAccount(), 0);
                    });
  }

  void sendPoison() {
    arrive(Load.Classes.back(), Load.Accounts.back().Account,
           PoisonFingerprint);
    Events.schedule(Now + CrashRetryInterval, [this] { sendPoison(); });
  }

  void arrive(const class_load &Class, const client_account_id &Account,
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

  // ---- the real decision code

  router &routerOf(const flow &Flow) { return *Routers[Flow.Request.Vm]; }

  const work_class &classOf(const flow &Flow) const {
    return Load.Configuration.Classes.at(Flow.Request.Class);
  }

  void placeByRouter(flow &Flow) {
    routing_request Routing;
    Routing.Configuration = &Load.Configuration;
    Routing.Account = &Load.Configuration.Accounts.at(Flow.Request.Account);
    Routing.Class = &classOf(Flow);
    Routing.Fingerprint = Flow.Request.Fingerprint;
    const auto Before = std::chrono::steady_clock::now();
    auto Planned = routerOf(Flow).plan(Routing, Now, nullptr);
    DecisionTime += std::chrono::steady_clock::now() - Before;
    ++DecisionCount;
    if (std::holds_alternative<routing_refusal>(Planned))
      return refuse(Flow);
    routerOf(Flow).countRequest(Flow.Request.Account);
    Flow.Plan = std::get<route_plan>(Planned);
    enterStage(Flow);
  }

  const plan_stage &stageOf(const flow &Flow) const {
    return Flow.Plan.Stages[Flow.Stage];
  }

  void enterStage(flow &Flow) {
    admission_request Admission;
    Admission.Account = Flow.Request.Account;
    Admission.Priority = classOf(Flow).Priority;
    Admission.LatestStart =
        Flow.Request.ArrivedAt + QueuePatience * classOf(Flow).FirstTokenTarget;
    auto Result = routerOf(Flow).admit(stageOf(Flow).Version, Admission, Now);
    if (auto *Admitted = std::get_if<admitted>(&Result))
      return admit(Flow, Admitted->Ticket);
    if (auto *Queued = std::get_if<queued>(&Result)) {
      Waiting[{Flow.Request.Vm, stageOf(Flow).Version, Queued->Ticket}] =
          Flow.Request.Index;
      return;
    }
    passStageOver(Flow);
  }

  /// An overloaded cheap stage leads on to the next one.
  void passStageOver(flow &Flow) {
    if (Flow.Stage + 1 >= Flow.Plan.Stages.size())
      return refuse(Flow);
    ++Flow.Stage;
    enterStage(Flow);
  }

  void admit(flow &Flow, admission_ticket Ticket) {
    Flow.Ticket = Ticket;
    Flow.AdmittedAt = Now;
    Flow.Excluded.clear();
    sendToEndpoint(Flow);
  }

  void leaveStage(flow &Flow) {
    if (!Flow.Ticket)
      return;
    const auto Service =
        std::chrono::duration_cast<milliseconds>(Now - Flow.AdmittedAt);
    const admission_ticket Ticket = *Flow.Ticket;
    Flow.Ticket.reset();
    play(Flow.Request.Vm, stageOf(Flow).Version,
         routerOf(Flow).release(stageOf(Flow).Version, Ticket, Service, Now));
  }

  void play(std::size_t Vm, const version_id &Version,
            const admission_progress &Progress) {
    for (admission_ticket Ticket : Progress.Admitted)
      if (auto Index = takeWaiting({Vm, Version, Ticket}))
        admit(Flows[*Index], Ticket);
    for (const auto &[Ticket, RetryAfter] : Progress.Shed)
      if (auto Index = takeWaiting({Vm, Version, Ticket}))
        passStageOver(Flows[*Index]);
  }

  using waiting_key = std::tuple<std::size_t, version_id, admission_ticket>;

  std::optional<std::size_t> takeWaiting(const waiting_key &Key) {
    auto Found = Waiting.find(Key);
    if (Found == Waiting.end())
      return std::nullopt;
    const std::size_t Index = Found->second;
    Waiting.erase(Found);
    return Index;
  }

  void sendToEndpoint(flow &Flow) {
    Flow.Attempt = routerOf(Flow).startAttempt(
        stageOf(Flow).Version, 0, Flow.Request.Fingerprint, Flow.Excluded, Now);
    if (!Flow.Attempt) {
      leaveStage(Flow);
      return refuse(Flow);
    }
    deliver(Flow, Flow.Attempt->Endpoint.Address.Port - 1,
            stageOf(Flow).Version);
  }

  void attemptFailed(flow &Flow, attempt_outcome Outcome) {
    attempt_report Report;
    Report.Outcome = Outcome;
    routerOf(Flow).finishAttempt(*Flow.Attempt, Flow.Request.Class, Report,
                                 Now);
    Flow.Excluded.insert(Flow.Attempt->Endpoint.Id);
    Flow.Attempt.reset();
    const bool MayRetry =
        ++Flow.Tries < 4 &&
        routerOf(Flow).crashStandingOf(Flow.Request.Fingerprint) !=
            crash_standing::Refused &&
        routerOf(Flow).tryTakeRetry(Flow.Request.Account);
    if (MayRetry)
      return sendToEndpoint(Flow);
    leaveStage(Flow);
    refuse(Flow);
  }

  // ---- baselines

  bench_view view() const {
    return {&Load, &Engines, &ReportedLoads, &BadVersions};
  }

  void placeByBaseline(flow &Flow) {
    Flow.Placed = Baseline->place(Flow.Request, view());
    if (!Flow.Placed)
      return refuse(Flow);
    deliver(Flow, Flow.Placed->Engine, Flow.Placed->Version);
  }

  // ---- engines

  void deliver(flow &Flow, std::size_t EngineIndex, const version_id &Version) {
    Flow.Engine = EngineIndex;
    Flow.SentAt = Now;
    Flow.EngineRun = EngineRuns[EngineIndex];
    virtual_engine &Engine = Engines[EngineIndex];
    if (!Engine.isUp())
      return fail(Flow, attempt_outcome::Failed);
    if (Flow.Request.Fingerprint == PoisonFingerprint) {
      breakDown(EngineIndex, RestartTime);
      if (!Baseline)
        routerOf(Flow).addCrash({PoisonFingerprint, Engine.truth().Id}, Now);
      return fail(Flow, attempt_outcome::Failed);
    }
    if (!Engine.accept({Flow.Request.Index, Version, Flow.Request.Tokens}))
      return fail(Flow, attempt_outcome::Refused);
    startJobs(EngineIndex);
  }

  void fail(flow &Flow, attempt_outcome Outcome) {
    if (!Baseline)
      return attemptFailed(Flow, Outcome);
    // A baseline retries a few times wherever it would go next.
    if (++Flow.Tries < 4)
      return placeByBaseline(Flow);
    refuse(Flow);
  }

  void startJobs(std::size_t EngineIndex) {
    while (auto Started = Engines[EngineIndex].startNext()) {
      const std::size_t Index = Started->Job.Request;
      const std::uint64_t Run = EngineRuns[EngineIndex];
      RunningJobs[EngineIndex].insert(Index);
      Flows[Index].FirstTokenAt = Now + millis(Started->FirstTokenMs);
      Events.schedule(
          Now + millis(Started->WholeMs),
          [this, EngineIndex, Index, Run, Version = Started->Job.Version] {
            if (EngineRuns[EngineIndex] != Run)
              return;
            Engines[EngineIndex].finishOne();
            RunningJobs[EngineIndex].erase(Index);
            finishJob(Flows[Index], Version);
            startJobs(EngineIndex);
          });
    }
  }

  void breakDown(std::size_t EngineIndex, std::chrono::nanoseconds DownTime) {
    ++Breakdowns;
    ++EngineRuns[EngineIndex];
    Engines[EngineIndex] = virtual_engine(Engines[EngineIndex].truth());
    Engines[EngineIndex].setUp(false);
    Events.schedule(Now + DownTime,
                    [this, EngineIndex] { Engines[EngineIndex].setUp(true); });
    // Queued and running work alike is cut.
    for (std::size_t Index = 0; Index < Flows.size(); ++Index) {
      flow &Flow = Flows[Index];
      const bool IsThere = !Flow.IsDone && Flow.Engine == EngineIndex &&
                           Flow.EngineRun + 1 == EngineRuns[EngineIndex] &&
                           (Flow.Attempt || Flow.Placed) &&
                           Flow.Request.Fingerprint != PoisonFingerprint;
      if (!IsThere)
        continue;
      if (!Baseline)
        routerOf(Flow).addCrash(
            {Flow.Request.Fingerprint, Engines[EngineIndex].truth().Id}, Now);
      fail(Flow, attempt_outcome::Failed);
    }
    RunningJobs[EngineIndex].clear();
  }

  // ---- answers

  double costOf(const version_id &Version, const flow &Flow) const {
    const model_version &Declared = Load.Configuration.Versions.at(Version);
    constexpr double PromptTokens = 200;
    return (PromptTokens * static_cast<double>(Declared.PromptPrice.count()) +
            Flow.Request.Tokens *
                static_cast<double>(Declared.CompletionPrice.count())) /
           1000;
  }

  double goodnessOf(const version_id &Version, const flow &Flow) const {
    const version_truth &Truth = Load.Truths.at({Version, Flow.Request.Class});
    return Flow.IsEasy ? Truth.EasyQuality : Truth.HardQuality;
  }

  /// Engines are surer of easy requests, with overlap; a version that turned
  /// bad is as sure as before.
  double drawConfidence(const flow &Flow) {
    return Flow.IsEasy ? 0.6 + 0.4 * uniform() : 0.2 + 0.6 * uniform();
  }

  void finishJob(flow &Flow, const version_id &Version) {
    const double Confidence = drawConfidence(Flow);
    const double Goodness = goodnessOf(Version, Flow);
    Flow.Cost += costOf(Version, Flow);
    std::optional<double> Accept;
    if (Baseline)
      Accept = Flow.Placed->AcceptConfidence;
    else {
      const double Rated =
          Flow.Role == answer_role::Alone ? Confidence : Flow.AskedConfidence;
      finishAttempt(Flow, Rated);
      scheduleRating(Flow, Version, Rated, Goodness);
      leaveStage(Flow);
      Accept = stageOf(Flow).AcceptConfidence;
    }
    if (Accept && Confidence < *Accept)
      return escalate(Flow);
    answer(Flow, Version, Goodness, Accept.has_value());
  }

  void finishAttempt(flow &Flow, double Confidence) {
    attempt_report Report;
    Report.Outcome = attempt_outcome::Answered;
    Report.FirstToken = std::chrono::duration_cast<milliseconds>(
        Flow.FirstTokenAt - Flow.SentAt);
    Report.Whole = std::chrono::duration_cast<milliseconds>(Now - Flow.SentAt);
    Report.PromptTokens = token_count(200);
    Report.CompletionTokens =
        token_count(static_cast<std::int64_t>(Flow.Request.Tokens));
    Report.Confidence = Confidence;
    Report.Role = Flow.Role;
    routerOf(Flow).finishAttempt(*Flow.Attempt, Flow.Request.Class, Report,
                                 Now);
    Flow.Attempt.reset();
  }

  void scheduleRating(const flow &Flow, const version_id &Version,
                      double Confidence, double Goodness) {
    const double Score = uniform() < Goodness ? 1 : 0;
    Events.schedule(
        Now + RatingLag, [this, Vm = Flow.Request.Vm, Version, Role = Flow.Role,
                          Class = Flow.Request.Class, Confidence, Score] {
          Routers[Vm]->addRating({Version, Class}, Role, Confidence, Score);
        });
  }

  void escalate(flow &Flow) {
    if (!Baseline) {
      Flow.AskedConfidence = *stageOf(Flow).AcceptConfidence;
      Flow.Role = answer_role::Escalated;
      ++Flow.Stage;
      return enterStage(Flow);
    }
    const version_id Next = Flow.Placed->Next;
    const std::size_t Engine = Baseline->engineFor(Next, view());
    if (Engine == Engines.size())
      return refuse(Flow);
    Flow.Placed = placement{Next, Engine, std::nullopt, {}};
    deliver(Flow, Engine, Next);
  }

  void answer(flow &Flow, const version_id &Version, double Goodness,
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

  void refuse(flow &Flow) { Flow.IsDone = true; }

  // ---- what the VMs do now and then

  void reportLoads() {
    const auto Age = Settings.Case == bench_case::LateReports &&
                             Now >= atSecond(FaultSeconds)
                         ? LateReportAge
                         : ReportInterval;
    for (std::size_t Index = 0; Index < Engines.size(); ++Index)
      reportOne(Index, Age);
    Events.schedule(Now + ReportInterval, [this] { reportLoads(); });
  }

  void reportOne(std::size_t Index, milliseconds Age) {
    const virtual_engine &Engine = Engines[Index];
    endpoint_report Report;
    Report.Versions = {Engine.truth().Version};
    for (const auto &Version : Engine.truth().MoreVersions)
      if (Settings.Case != bench_case::HalfRollOut || Index % 2 == 0)
        Report.Versions.insert(Version);
    Report.Slots = Engine.truth().Slots;
    Report.Load = Engine.load();
    const bool IsUp = Engine.isUp();
    const steady_time AskedAt = Now;
    Events.schedule(Now + Age, [this, Index, Report, IsUp, AskedAt] {
      ReportedLoads[Index] = Report.Load;
      for (auto &Router : Routers) {
        const endpoint_id &Id = Engines[Index].truth().Id;
        if (IsUp)
          Router->endpointReport(Id, Report, AskedAt);
        else
          Router->endpointReportMissing(Id, Now);
      }
    });
  }

  void gossip() {
    for (std::size_t From = 0; From < Routers.size(); ++From) {
      const auto Ratings = Routers[From]->takeRatingNotices();
      const auto Crashes = Routers[From]->takeCrashNotices();
      const auto Usage = Routers[From]->usage();
      for (std::size_t To = 0; To < Routers.size(); ++To) {
        if (To == From)
          continue;
        if (Settings.ArePooled)
          for (const auto &Notice : Ratings)
            Routers[To]->mergeRating(Notice);
        for (const auto &Notice : Crashes)
          Routers[To]->addCrash(Notice, Now);
        Routers[To]->setPeerUsage(vm_id("vm-" + std::to_string(From)), Usage,
                                  Now);
      }
    }
    if (!Routers.empty())
      Events.schedule(Now + GossipInterval, [this] { gossip(); });
  }

  void advanceQueues() {
    for (std::size_t Vm = 0; Vm < Routers.size(); ++Vm)
      for (const auto &[Version, Progress] : Routers[Vm]->advance(Now))
        play(Vm, Version, Progress);
    if (!Routers.empty())
      Events.schedule(Now + QueueInterval, [this] { advanceQueues(); });
  }

  void automate() {
    for (auto &Router : Routers) {
      for (const auto &Alarm : Router->takeAlarms())
        Events.schedule(
            Now + ConfigurationDelay,
            [this, Version = Alarm.Subject.Version] { withdraw(Version); });
      for (const auto &Version : Router->provenRollOuts(Load.Configuration))
        setState(Version, version_state::Active);
    }
    if (!Routers.empty())
      Events.schedule(Now + AutomationInterval, [this] { automate(); });
  }

  void withdraw(const version_id &Version) {
    if (Load.Configuration.Versions.at(Version).State ==
        version_state::Withdrawn)
      return;
    if (BadVersions.contains(Version))
      WasWithdrawn = true;
    else
      ++FalseAlarms;
    setState(Version, version_state::Withdrawn);
  }

  bench_outcome outcome() {
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

  workload Load;
  const bench_settings Settings;
  std::mt19937_64 Random;
  std::unique_ptr<baseline_policy> Baseline;
  std::vector<std::unique_ptr<router>> Routers;
  std::vector<virtual_engine> Engines;
  std::vector<unsigned> ReportedLoads;
  std::vector<std::uint64_t> EngineRuns;
  std::map<std::size_t, std::set<std::size_t>> RunningJobs;
  std::set<version_id> BadVersions;
  version_id Victim;
  std::deque<flow> Flows;
  std::map<waiting_key, std::size_t> Waiting;
  event_queue Events;
  steady_time Now = Start;
  std::chrono::steady_clock::duration DecisionTime{};
  std::size_t DecisionCount = 0;
  std::size_t BadServed = 0;
  std::size_t BadServedByFirstVm = 0;
  std::size_t FalseAlarms = 0;
  std::size_t Breakdowns = 0;
  bool WasWithdrawn = false;
};

} // namespace

bench_outcome runPolicyBench(workload Load, const bench_settings &Settings) {
  return simulation(std::move(Load), Settings).run();
}

} // namespace azurehaven::bench
