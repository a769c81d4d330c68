#include "LibBench/policy_simulation.h"

#include <algorithm>
#include <cmath>

namespace azurehaven::bench {

void simulation::reportLoads() {
  const auto Delay = Settings.Case == bench_case::LateReports &&
                             Now >= timeAtSecond(FaultSeconds)
                         ? LateReportAge
                         : ReportInterval;
  for (std::size_t Index = 0; Index < Engines.size(); ++Index)
    reportEngine(Index, Delay);
  Events.schedule(Now + ReportInterval, [this] { reportLoads(); });
}

void simulation::reportEngine(std::size_t Index, milliseconds Delay) {
  const virtual_engine &Engine = Engines[Index];
  endpoint_report Report;
  Report.Versions = {Engine.parameters().Version};
  for (const auto &Version : Engine.parameters().RollOutVersions)
    if (Settings.Case != bench_case::HalfRollOut || Index % 2 == 0)
      Report.Versions.insert(Version);
  Report.Slots = Engine.parameters().Slots;
  Report.Load = Engine.load();
  const bool IsUp = Engine.isUp();
  const steady_time RequestedAt = Now;
  Events.schedule(Now + Delay, [this, Index, Report, IsUp, RequestedAt] {
    ReportedLoads[Index] = Report.Load;
    for (auto &Router : Routers) {
      const endpoint_id &Id = Engines[Index].parameters().Id;
      if (IsUp)
        Router->updateEndpointReport(Id, Report, RequestedAt);
      else
        Router->recordEndpointPollFailure(Id, Now);
    }
  });
}

void simulation::exchangeGossip() {
  for (std::size_t From = 0; From < Routers.size(); ++From) {
    const auto Ratings = Routers[From]->takeRatingNotices();
    const auto Crashes = Routers[From]->takeCrashNotices();
    const auto Usage = Routers[From]->inFlightByAccount();
    for (std::size_t To = 0; To < Routers.size(); ++To) {
      if (To == From)
        continue;
      if (Settings.RatingsArePooled)
        for (const auto &Notice : Ratings)
          Routers[To]->mergeRatingNotice(Notice);
      for (const auto &Notice : Crashes)
        Routers[To]->addCrash(Notice, Now);
      Routers[To]->setPeerUsage(vm_id("vm-" + std::to_string(From)), Usage,
                                Now);
    }
  }
  if (!Routers.empty())
    Events.schedule(Now + GossipInterval, [this] { exchangeGossip(); });
}

void simulation::advanceQueues() {
  for (std::size_t Vm = 0; Vm < Routers.size(); ++Vm)
    for (const auto &[Version, Progress] : Routers[Vm]->advanceQueues(Now))
      applyAdmissionProgress(Vm, Version, Progress);
  if (!Routers.empty())
    Events.schedule(Now + QueueInterval, [this] { advanceQueues(); });
}

void simulation::runAutomation() {
  for (auto &Router : Routers) {
    for (const auto &Alarm : Router->evaluateHealth())
      Events.schedule(
          Now + ConfigurationDelay,
          [this, Version = Alarm.Subject.Version] { withdraw(Version); });
    for (const auto &Version :
         Router->promotableVersions(Workload.Configuration))
      setVersionState(Version, version_state::Active);
  }
  if (!Routers.empty())
    Events.schedule(Now + AutomationInterval, [this] { runAutomation(); });
}

void simulation::withdraw(const version_id &Version) {
  if (Workload.Configuration.Versions.at(Version).State ==
      version_state::Withdrawn)
    return;
  if (DegradedVersions.contains(Version))
    WasWithdrawn = true;
  else
    ++FalseAlarms;
  setVersionState(Version, version_state::Withdrawn);
}

} // namespace azurehaven::bench
