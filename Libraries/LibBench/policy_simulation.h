#pragma once

#include "LibBench/event_queue.h"
#include "LibBench/policy_bench.h"
#include "LibBench/request_state.h"

#include <deque>
#include <random>

namespace azurehaven::bench {

inline constexpr double WarmUpSeconds = 300;
/// Time from the start of the run to the fault or load change of the case.
inline constexpr double FaultSeconds = 400;
inline constexpr double FlashEndSeconds = 460;
inline constexpr double FlashFactor = 4;
inline constexpr double FloodFactor = 10;
inline constexpr milliseconds GossipInterval{500};
inline constexpr milliseconds ReportInterval{250};
/// Delay of load reports in the case LateReports; otherwise they arrive
/// ReportInterval late.
inline constexpr milliseconds LateReportAge{3000};
inline constexpr milliseconds QueueInterval{20};
inline constexpr milliseconds AutomationInterval{500};
/// Delay between an alarm and the withdrawal of its version.
inline constexpr milliseconds ConfigurationDelay{200};
/// Delay between a response and its rating.
inline constexpr milliseconds RatingDelay{2000};
/// Time that an engine stays down after a crash-causing request.
inline constexpr milliseconds RestartTime{5000};
/// Interval at which the caller resends the crash-causing request.
inline constexpr milliseconds CrashRetryInterval{20000};
/// Maximum time in the admission queue, in multiples of the first-token target.
inline constexpr int QueueTimeoutFactor = 4;
inline const steady_time Start{std::chrono::hours(1)};

inline steady_time timeAtSecond(double Seconds) {
  return Start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                     std::chrono::duration<double>(Seconds));
}

inline std::chrono::nanoseconds fromMilliseconds(double Count) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(Count));
}

/// Discrete-event simulation of one run of the policy bench: arrivals, engines
/// and the routers of the VMs. Implemented in policy_simulation.cpp (arrivals
/// and injected faults), simulation_placement.cpp (routers, queues and
/// baselines), simulation_engines.cpp (jobs, responses, crashes) and
/// simulation_periodic.cpp (load reports, gossip and automatic changes).
class simulation {
public:
  simulation(workload Chosen, const bench_settings &Settings);
  bench_outcome run();

private:
  double uniform();
  double exponential(double Rate);
  void makeRouters();
  void applyVmList();
  void scheduleFault();
  void degradeVersion(const version_id &Version, double Drop);
  void setVersionState(const version_id &Version, version_state State);
  double rateFactor() const;
  client_account_id sampleAccount();
  void scheduleArrival(std::size_t ClassIndex, steady_time From);
  void sendCrashCausingRequest();
  void startRequest(const class_load &Class, const client_account_id &Account,
                    std::uint64_t Fingerprint);
  // ---- routing by the production router

  router &routerOf(const request_state &State) {
    return *Routers[State.Request.Vm];
  }

  const work_class &classOf(const request_state &State) const;
  void placeByRouter(request_state &State);
  const plan_stage &stageOf(const request_state &State) const;
  void enterStage(request_state &State);
  /// Moves a request that the admission queue of its stage rejected or shed to
  /// the next stage of its plan; refuses it after the last stage.
  void skipStage(request_state &State);
  void admit(request_state &State, admission_ticket Ticket);
  /// Releases the admission ticket of the request, if it holds one, and admits
  /// the queued requests for which this makes room.
  void leaveStage(request_state &State);
  void applyAdmissionProgress(std::size_t Vm, const version_id &Version,
                              const admission_progress &Progress);
  using ticket_key = std::tuple<std::size_t, version_id, admission_ticket>;
  std::optional<std::size_t> takeQueuedRequest(const ticket_key &Key);
  void sendToEndpoint(request_state &State);
  void retryOrRefuse(request_state &State, attempt_outcome Outcome);
  // ---- baselines

  bench_view baselineView() const;
  void placeByBaseline(request_state &State);
  // ---- engines

  void sendToEngine(request_state &State, std::size_t EngineIndex,
                    const version_id &Version);
  void handleFailure(request_state &State, attempt_outcome Outcome);
  void startJobs(std::size_t EngineIndex);
  void crashEngine(std::size_t EngineIndex, std::chrono::nanoseconds DownTime);
  // ---- responses

  double costOf(const version_id &Version, const request_state &State) const;
  double trueQualityOf(const version_id &Version,
                       const request_state &State) const;
  /// Easy requests get higher confidences than hard ones, with overlap. A drop
  /// in quality leaves the confidence unchanged.
  double sampleConfidence(const request_state &State);
  void finishJob(request_state &State, const version_id &Version);
  void finishAttempt(request_state &State, double Confidence);
  void scheduleRating(const request_state &State, const version_id &Version,
                      double Confidence, double TrueQuality);
  void escalate(request_state &State);
  void completeRequest(request_state &State, const version_id &Version,
                       double TrueQuality, bool WasHeld);
  /// Ends the request without a response.
  void refuse(request_state &State) { State.IsDone = true; }

  // ---- periodic tasks of the VMs

  void reportLoads();
  void reportEngine(std::size_t Index, milliseconds Delay);
  void exchangeGossip();
  void advanceQueues();
  void runAutomation();
  void withdraw(const version_id &Version);
  bench_outcome outcome();
  workload Workload;
  const bench_settings Settings;
  std::mt19937_64 Random;
  std::unique_ptr<baseline_policy> Baseline;
  std::vector<std::unique_ptr<router>> Routers;
  std::vector<virtual_engine> Engines;
  std::vector<unsigned> ReportedLoads;
  std::vector<std::uint64_t> EngineIncarnations;
  std::map<std::size_t, std::set<std::size_t>> RunningJobs;
  std::set<version_id> DegradedVersions;
  version_id FaultTarget;
  std::deque<request_state> States;
  std::map<ticket_key, std::size_t> QueuedRequests;
  event_queue Events;
  steady_time Now = Start;
  std::chrono::steady_clock::duration DecisionTime{};
  std::size_t DecisionCount = 0;
  std::size_t BadServed = 0;
  std::size_t BadServedByFirstVm = 0;
  std::size_t FalseAlarms = 0;
  std::size_t EngineCrashes = 0;
  bool WasWithdrawn = false;
};

} // namespace azurehaven::bench
