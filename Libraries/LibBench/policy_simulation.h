#pragma once

#include "LibBench/bench_flow.h"
#include "LibBench/event_queue.h"
#include "LibBench/policy_bench.h"

#include <deque>
#include <random>

namespace azurehaven::bench {

inline constexpr double WarmUpSeconds = 300;
inline constexpr double FaultSeconds = 400;
inline constexpr double FlashEndSeconds = 460;
inline constexpr double FlashFactor = 4;
inline constexpr double FloodFactor = 10;
inline constexpr milliseconds GossipInterval{500};
inline constexpr milliseconds ReportInterval{250};
inline constexpr milliseconds LateReportAge{3000};
inline constexpr milliseconds QueueInterval{20};
inline constexpr milliseconds AutomationInterval{500};
inline constexpr milliseconds ConfigurationDelay{200};
inline constexpr milliseconds RatingLag{2000};
inline constexpr milliseconds RestartTime{5000};
inline constexpr milliseconds CrashRetryInterval{20000};
inline constexpr int QueuePatience = 4;
inline const steady_time Start{std::chrono::hours(1)};

inline steady_time atSecond(double Seconds) {
  return Start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                     std::chrono::duration<double>(Seconds));
}

inline std::chrono::nanoseconds millis(double Count) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(Count));
}

/// One run of the policy bench: arrivals, engines, VMs and their lists as
/// events in virtual time. Its sources: policy_simulation.cpp (the run and its
/// case), simulation_placement.cpp (routers and queues), simulation_engines.cpp
/// (jobs, answers, breakdowns), simulation_upkeep.cpp (reports and automation).
class simulation {
public:
  simulation(workload Chosen, const bench_settings &Settings);
  bench_outcome run();

private:
  double uniform();
  double exponential(double Rate);
  void makeRouters();
  void applyLists();
  void prepareCase();
  void turnBad(const version_id &Version, double Drop);
  void setState(const version_id &Version, version_state State);
  double rateFactor() const;
  client_account_id drawAccount();
  void scheduleArrival(std::size_t ClassIndex, steady_time From);
  void sendPoison();
  void arrive(const class_load &Class, const client_account_id &Account,
              std::uint64_t Fingerprint);
  // ---- the real decision code

  router &routerOf(const flow &Flow) { return *Routers[Flow.Request.Vm]; }

  const work_class &classOf(const flow &Flow) const;
  void placeByRouter(flow &Flow);
  const plan_stage &stageOf(const flow &Flow) const;
  void enterStage(flow &Flow);
  /// An overloaded cheap stage leads on to the next one.
  void passStageOver(flow &Flow);
  void admit(flow &Flow, admission_ticket Ticket);
  void leaveStage(flow &Flow);
  void play(std::size_t Vm, const version_id &Version,
            const admission_progress &Progress);
  using waiting_key = std::tuple<std::size_t, version_id, admission_ticket>;
  std::optional<std::size_t> takeWaiting(const waiting_key &Key);
  void sendToEndpoint(flow &Flow);
  void attemptFailed(flow &Flow, attempt_outcome Outcome);
  // ---- baselines

  bench_view view() const;
  void placeByBaseline(flow &Flow);
  // ---- engines

  void deliver(flow &Flow, std::size_t EngineIndex, const version_id &Version);
  void fail(flow &Flow, attempt_outcome Outcome);
  void startJobs(std::size_t EngineIndex);
  void breakDown(std::size_t EngineIndex, std::chrono::nanoseconds DownTime);
  // ---- answers

  double costOf(const version_id &Version, const flow &Flow) const;
  double goodnessOf(const version_id &Version, const flow &Flow) const;
  /// Engines are surer of easy requests, with overlap; a version that turned
  /// bad is as sure as before.
  double drawConfidence(const flow &Flow);
  void finishJob(flow &Flow, const version_id &Version);
  void finishAttempt(flow &Flow, double Confidence);
  void scheduleRating(const flow &Flow, const version_id &Version,
                      double Confidence, double Goodness);
  void escalate(flow &Flow);
  void answer(flow &Flow, const version_id &Version, double Goodness,
              bool WasHeld);
  void refuse(flow &Flow) { Flow.IsDone = true; }

  // ---- what the VMs do now and then

  void reportLoads();
  void reportOne(std::size_t Index, milliseconds Age);
  void gossip();
  void advanceQueues();
  void automate();
  void withdraw(const version_id &Version);
  bench_outcome outcome();
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

} // namespace azurehaven::bench
