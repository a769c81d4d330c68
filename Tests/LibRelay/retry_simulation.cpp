#include "retry_simulation.h"

#include "test_fleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>

namespace azurehaven {

namespace {

const steady_time Start{std::chrono::hours(1)};
const service_id Service("s");
constexpr double Ratio = 0.9;
constexpr milliseconds Window{10000};
constexpr milliseconds RestartTime{300};
constexpr milliseconds FreezeInterval{5000};
constexpr milliseconds StoreCutInterval{20000};
/// Time after which the others drop a member that can't renew its lease.
constexpr milliseconds LeaseTime{2500};
/// For this long after a stop begins, callers still send requests to the VM.
constexpr milliseconds CallerCacheTime{3000};

/// A place in the fleet, in which one process after the other runs.
struct vm_slot {
  std::string Name;
  std::unique_ptr<fleet_state> Process;
  std::uint64_t Incarnation = 0;
  bool IsLeaving = false;
  steady_time StartedAt;
  steady_time LeavingSince;
  steady_time FrozenUntil;
};

/// A request on its way through one process.
struct simulated_request {
  std::size_t Slot = 0;
  std::uint64_t Incarnation = 0;
  int Sends = 0;
};

class simulation {
public:
  simulation(const retry_day &Day, unsigned Seed);
  retry_result run();

private:
  using action = std::function<void()>;

  void after(milliseconds Delay, action Action) {
    Events.emplace(Now + Delay, std::move(Action));
  }
  void repeat(milliseconds Interval, const action &Action) {
    Action();
    after(Interval, [this, Interval, Action] { repeat(Interval, Action); });
  }
  /// The first time as the endpoints begin to fail; never if zero.
  void everySinceFailure(milliseconds Interval, const action &Action) {
    if (Interval.count() > 0)
      after(Day.FailsFrom,
            [this, Interval, Action] { repeat(Interval, Action); });
  }
  milliseconds upTo(milliseconds Longest) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        0, Longest.count())(Random));
  }
  bool haveEndpointsFailed() const { return Now >= Start + Day.FailsFrom; }
  bool isCutOffStore(std::size_t Index) const {
    return Index % 2 == 1 && Now < StoreCutUntil;
  }
  bool isListed(std::size_t Index) const;
  bool takesRequests(const vm_slot &Slot) const;
  void startProcess(vm_slot &Slot);
  void killNext();
  void stopNext();
  void updateMembers(std::size_t Index);
  void scheduleArrival();
  void arrive();
  void send(simulated_request Request);
  void finishAttempt(const simulated_request &Request);
  void review(retry_result &Result) const;

  const retry_day Day;
  std::mt19937 Random;
  steady_time Now = Start;
  std::multimap<steady_time, action> Events;
  std::vector<vm_slot> Slots;
  std::size_t NextKilled = 0;
  std::size_t NextStopped = 0;
  std::size_t NextFrozen = 0;
  steady_time StoreCutSince;
  steady_time StoreCutUntil;
  std::vector<steady_time> RequestTimes;
  std::vector<steady_time> RetryTimes;
};

simulation::simulation(const retry_day &Day, unsigned Seed)
    : Day(Day), Random(Seed), Slots(Day.VmCount) {
  for (std::size_t Index = 0; Index < Slots.size(); ++Index) {
    Slots[Index].Name = "vm-" + std::to_string(Index);
    startProcess(Slots[Index]);
  }
}

void simulation::startProcess(vm_slot &Slot) {
  Slot.Process = std::make_unique<fleet_state>(testFleet(Slot.Name));
  Slot.Process->Retries.setLimits({Ratio, Window, Day.Slack});
  ++Slot.Incarnation;
  Slot.IsLeaving = false;
  Slot.StartedAt = Now;
}

bool simulation::isListed(std::size_t Index) const {
  const vm_slot &Slot = Slots[Index];
  const bool HasLapsed =
      isCutOffStore(Index) && Now >= StoreCutSince + LeaseTime;
  return Slot.Process && !Slot.IsLeaving && !HasLapsed;
}

void simulation::updateMembers(std::size_t Index) {
  vm_slot &Slot = Slots[Index];
  if (!Slot.Process || isCutOffStore(Index))
    return;
  // Only the number of members matters to the budget.
  const bool SeesOthers = Now >= Slot.StartedAt + Day.UnlistedTime;
  std::size_t Listed = 0;
  for (std::size_t Other = 0; Other < Slots.size(); ++Other)
    if (isListed(Other) && (SeesOthers || Other == Index))
      ++Listed;
  Slot.Process->Retries.observeVmCount(Listed, Now);
}

bool simulation::takesRequests(const vm_slot &Slot) const {
  const bool IsKnownToCallers =
      !Slot.IsLeaving || Now < Slot.LeavingSince + CallerCacheTime;
  return Slot.Process && IsKnownToCallers && Now >= Slot.FrozenUntil;
}

void simulation::killNext() {
  vm_slot &Slot = Slots[NextKilled++ % Slots.size()];
  Slot.Process.reset();
  after(RestartTime, [this, &Slot] { startProcess(Slot); });
}

void simulation::stopNext() {
  vm_slot &Slot = Slots[NextStopped++ % Slots.size()];
  if (!Slot.Process || Slot.IsLeaving)
    return;
  Slot.IsLeaving = true;
  Slot.LeavingSince = Now;
  after(Day.StopGrace, [this, &Slot] { startProcess(Slot); });
}

void simulation::scheduleArrival() {
  std::exponential_distribution<double> Pause(Day.RequestsPerSecond);
  after(milliseconds(std::llround(1000 * Pause(Random))), [this] {
    arrive();
    scheduleArrival();
  });
}

void simulation::arrive() {
  RequestTimes.push_back(Now);
  std::vector<std::size_t> Open;
  for (std::size_t Index = 0; Index < Slots.size(); ++Index)
    if (takesRequests(Slots[Index]))
      Open.push_back(Index);
  if (Open.empty())
    return;
  const std::size_t Chosen = Open[std::uniform_int_distribution<std::size_t>(
      0, Open.size() - 1)(Random)];
  vm_slot &Slot = Slots[Chosen];
  Slot.Process->Retries.recordRequest(Service, Now);
  send({Chosen, Slot.Incarnation, 0});
}

void simulation::send(simulated_request Request) {
  if (Request.Sends++ > 0)
    RetryTimes.push_back(Now);
  after(upTo(Day.LongestAttempt), [this, Request] { finishAttempt(Request); });
}

void simulation::finishAttempt(const simulated_request &Request) {
  const vm_slot &Slot = Slots[Request.Slot];
  if (!Slot.Process || Slot.Incarnation != Request.Incarnation)
    return;
  if (Now < Slot.FrozenUntil)
    return after(std::chrono::ceil<milliseconds>(Slot.FrozenUntil - Now),
                 [this, Request] { finishAttempt(Request); });
  if (!haveEndpointsFailed() || Request.Sends >= Day.MaxAttempts)
    return;
  fleet_state &Fleet = *Slot.Process;
  if (Fleet.Retries.tryConsume(Service, Now))
    send(Request);
}

void simulation::review(retry_result &Result) const {
  const auto Count = [](const std::vector<steady_time> &Times,
                        steady_time From) {
    return std::count_if(Times.begin(), Times.end(), [&](steady_time At) {
      return At >= From && At < From + Window;
    });
  };
  double WorstMargin = std::numeric_limits<double>::infinity();
  for (const steady_time From : RetryTimes) {
    const auto Requests = std::max({Count(RequestTimes, From),
                                    Count(RequestTimes, From - Window / 2),
                                    Count(RequestTimes, From - Window)});
    const double Limit = Ratio * static_cast<double>(Requests) + Day.Slack;
    const auto Retries = static_cast<int>(Count(RetryTimes, From));
    Result.BrokenWindows += Retries > Limit ? 1 : 0;
    if (Limit - Retries > WorstMargin)
      continue;
    WorstMargin = Limit - Retries;
    Result.WorstRetries = Retries;
    Result.WorstLimit = Limit;
  }
  Result.Requests = static_cast<int>(RequestTimes.size());
  Result.Retries = static_cast<int>(RetryTimes.size());
}

retry_result simulation::run() {
  scheduleArrival();
  constexpr milliseconds ListInterval{100};
  repeat(ListInterval, [this] {
    for (std::size_t Index = 0; Index < Slots.size(); ++Index)
      updateMembers(Index);
  });
  everySinceFailure(Day.KillInterval, [this] { killNext(); });
  everySinceFailure(Day.StopInterval, [this] { stopNext(); });
  if (Day.FreezeTime.count() > 0)
    everySinceFailure(FreezeInterval, [this] {
      Slots[NextFrozen++ % Slots.size()].FrozenUntil = Now + Day.FreezeTime;
    });
  if (Day.StoreCutTime.count() > 0)
    everySinceFailure(StoreCutInterval, [this] {
      StoreCutSince = Now;
      StoreCutUntil = Now + Day.StoreCutTime;
    });
  while (!Events.empty() && Events.begin()->first < Start + Day.Length) {
    Now = Events.begin()->first;
    const action Action = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    Action();
  }
  retry_result Result;
  review(Result);
  return Result;
}

} // namespace

retry_result simulateRetries(const retry_day &Day, unsigned Seed) {
  return simulation(Day, Seed).run();
}

} // namespace azurehaven
