#include "Soak/fault_schedule.h"

#include <array>
#include <csignal>
#include <iostream>
#include <thread>

namespace azurehaven::platform {

namespace {

/// Between the starts of two faults.
constexpr int LongestStartIntervalMs = 1500;
constexpr int ShortestFaultMs = 300;
constexpr int LongestFaultMs = 8000;
constexpr int RestartsInSeries = 4;
constexpr milliseconds SeriesInterval{500};
/// Added to the stop grace period for scheduling delays on a busy machine.
constexpr milliseconds StopSlack{3000};
/// Between two planned stops, so that the restarted process is listed and
/// receives requests again.
constexpr milliseconds RestartInterval{2500};

/// Of this many faults, one is preceded by a restoration of the store and half
/// by a copy of it.
constexpr std::uint64_t FaultsPerRestoration = 6;
/// Time for which a store that is being restored does not respond, and the time
/// until operators and endpoints have repeated their writes.
constexpr milliseconds RestorationTime{300};
constexpr milliseconds RepeatTime{500};

/// The end of a fault that leaves nothing to undo: a reload, or a fault skipped
/// because its target has one already.
status doNothing() { return success{}; }

const char *nameOf(link_fault Fault) {
  switch (Fault) {
  case link_fault::None:
    return "no fault";
  case link_fault::Delay:
    return "delays";
  case link_fault::Reset:
    return "resets";
  case link_fault::DropResponses:
    return "dropped responses";
  case link_fault::RepeatResponses:
    return "repeated responses";
  case link_fault::Silence:
    return "silence";
  }
  return "unknown";
}

const char *nameOf(endpoint_behavior Behavior) {
  switch (Behavior) {
  case endpoint_behavior::Healthy:
    return "is healthy";
  case endpoint_behavior::Full:
    return "is full";
  case endpoint_behavior::Failing:
    return "fails";
  case endpoint_behavior::TruncatingStreams:
    return "truncates streams";
  case endpoint_behavior::SheddingHalf:
    return "refuses every second request";
  }
  return "unknown";
}

std::string nameOfEndpoint(std::size_t Index) {
  return "endpoint " + std::to_string(Index);
}

std::function<status()> linkFaultSetter(fault_proxy &Link, link_fault Fault) {
  return [&Link, Fault]() -> status {
    Link.setFault(Fault);
    return success{};
  };
}

template <typename T>
std::function<status()> valueSetter(std::atomic<T> &Switch, T Value) {
  return [&Switch, Value]() -> status {
    Switch = Value;
    return success{};
  };
}

steady_time now() { return std::chrono::steady_clock::now(); }

} // namespace

fault_schedule::fault_schedule(soak_cluster &Cluster, std::uint64_t Seed)
    : Cluster(Cluster), Random(Seed), RestorationRandom(~Seed),
      StartedAt(now()) {}

void fault_schedule::print(const std::string &Text) const {
  const auto At =
      std::chrono::duration_cast<milliseconds>(now() - StartedAt).count();
  std::cout << At << " ms: " << Text << std::endl;
}

status fault_schedule::endExpiredFaults(steady_time Now) {
  while (!PendingEnds.empty() && PendingEnds.begin()->first <= Now) {
    const fault_end End = std::move(PendingEnds.begin()->second);
    PendingEnds.erase(PendingEnds.begin());
    TRY_STATUS(End());
  }
  return success{};
}

status fault_schedule::play(std::size_t Faults) {
  static constexpr std::array<fault_start, 15> Kinds = {
      &fault_schedule::killEntry,
      &fault_schedule::pauseEntry,
      &fault_schedule::stopEntry,
      &fault_schedule::reloadEntry,
      &fault_schedule::takeStoreDown,
      &fault_schedule::dropStoreResponses,
      &fault_schedule::injectStoreLinkFault,
      &fault_schedule::injectEndpointLinkFault,
      &fault_schedule::degradeEndpoint,
      &fault_schedule::crashEndpoint,
      &fault_schedule::drainEndpoint,
      &fault_schedule::revokeKey,
      &fault_schedule::restartInSeries,
      &fault_schedule::failService,
      &fault_schedule::repeatResponses};
  Cluster.Store.makeCopy();
  for (std::size_t Count = 0; Count < Faults; ++Count) {
    TRY_STATUS(copyOrRestoreStore());
    TRY(fault_end End, (this->*Kinds[Random() % Kinds.size()])());
    const milliseconds Length(ShortestFaultMs +
                              Random() % (LongestFaultMs - ShortestFaultMs));
    PendingEnds.emplace(now() + Length, std::move(End));
    const auto NextAt = now() + milliseconds(Random() % LongestStartIntervalMs);
    while (!PendingEnds.empty() && PendingEnds.begin()->first <= NextAt) {
      std::this_thread::sleep_until(PendingEnds.begin()->first);
      TRY_STATUS(endExpiredFaults(now()));
    }
    std::this_thread::sleep_until(NextAt);
  }
  while (!PendingEnds.empty()) {
    std::this_thread::sleep_until(PendingEnds.begin()->first);
    TRY_STATUS(endExpiredFaults(now()));
  }
  return success{};
}

result<fault_schedule::fault_end> fault_schedule::injectFault(
    const std::string &Target, fault_kind Kind, const std::string &LoggedTarget,
    const std::string &Text, const fault_end &Begin, fault_end End) {
  if (!ActiveTargets.insert(Target).second)
    return fault_end(doNothing);
  print(Text);
  const auto IntervalIndex = Cluster.FaultLog.startInterval(Kind, LoggedTarget);
  TRY_STATUS(Begin());
  return fault_end([=, this, End = std::move(End)]() -> status {
    TRY_STATUS(End());
    print("ended: " + Text);
    Cluster.FaultLog.endInterval(IntervalIndex);
    ActiveTargets.erase(Target);
    return success{};
  });
}

result<fault_schedule::fault_end> fault_schedule::killEntry() {
  const std::size_t Entry = randomEntry();
  const std::string Name = Cluster.entryName(Entry);
  return injectFault(
      Name, fault_kind::Process, Name, "kill " + Name,
      [=, this] { return Cluster.Processes.signal(Name, SIGKILL); },
      [=, this] { return Cluster.startEntry(Entry); });
}

result<fault_schedule::fault_end> fault_schedule::restartInSeries() {
  const std::size_t Entry = randomEntry();
  const std::string Name = Cluster.entryName(Entry);
  const bool DoEnginesFail = Random() % 2 == 0;
  return injectFault(
      Name, fault_kind::Process, Name,
      "restart " + Name + " in series" +
          (DoEnginesFail ? " while the engines fail" : ""),
      [=, this]() -> status {
        if (DoEnginesFail)
          Cluster.setServiceFailing(EngineService, true);
        for (int Restart = 0; Restart < RestartsInSeries; ++Restart) {
          TRY_STATUS(Cluster.Processes.signal(Name, SIGKILL));
          TRY_STATUS(Cluster.startEntry(Entry));
          std::this_thread::sleep_for(SeriesInterval);
        }
        return success{};
      },
      [=, this]() -> status {
        if (DoEnginesFail)
          Cluster.setServiceFailing(EngineService, false);
        return success{};
      });
}

result<fault_schedule::fault_end> fault_schedule::failService() {
  const std::string Service = Cluster.Endpoints[randomEndpoint()]->service();
  const auto Setter = [=, this](bool IsFailing) {
    return [=, this]() -> status {
      Cluster.setServiceFailing(Service, IsFailing);
      return success{};
    };
  };
  return injectFault("service " + Service, fault_kind::Endpoint, Service,
                     "all endpoints of " + Service + " fail", Setter(true),
                     Setter(false));
}

result<fault_schedule::fault_end> fault_schedule::repeatResponses() {
  const std::size_t Index = randomEndpoint();
  const std::string Name = nameOfEndpoint(Index);
  fault_proxy &Link = *Cluster.EndpointLinks[Index];
  endpoint_double &Endpoint = *Cluster.Endpoints[Index];
  const bool Sheds = Random() % 2 == 0;
  const auto Setter = [&Link, &Endpoint](link_fault Fault,
                                         endpoint_behavior Behavior) {
    return [&Link, &Endpoint, Fault, Behavior]() -> status {
      Link.setFault(Fault);
      Endpoint.Behavior = Behavior;
      return success{};
    };
  };
  return injectFault(
      Name, fault_kind::Endpoint, Name,
      Name + " writes responses again" + (Sheds ? " and refuses some" : ""),
      Setter(link_fault::RepeatResponses, Sheds
                                              ? endpoint_behavior::SheddingHalf
                                              : endpoint_behavior::Healthy),
      Setter(link_fault::None, endpoint_behavior::Healthy));
}

result<fault_schedule::fault_end> fault_schedule::pauseEntry() {
  const std::string Name = Cluster.entryName(randomEntry());
  return injectFault(
      Name, fault_kind::Process, Name, "pause " + Name,
      [=, this] { return Cluster.Processes.signal(Name, SIGSTOP); },
      [=, this] { return Cluster.Processes.signal(Name, SIGCONT); });
}

status fault_schedule::awaitStop(std::size_t Entry) {
  const std::string Name = Cluster.entryName(Entry);
  TRY(const int Status,
      Cluster.Processes.awaitExit(Name, StopGrace + StopSlack));
  if (Status != 0)
    return error{error_code::Internal,
                 Name + " exited its planned stop with status " +
                     std::to_string(Status)};
  return success{};
}

result<fault_schedule::fault_end> fault_schedule::stopEntry() {
  const std::size_t Entry = randomEntry();
  const std::string Name = Cluster.entryName(Entry);
  return injectFault(
      Name, fault_kind::Stop, Name, "stop " + Name,
      [=, this] { return Cluster.Processes.signal(Name, SIGTERM); },
      [=, this]() -> status {
        TRY_STATUS(awaitStop(Entry));
        return Cluster.startEntry(Entry);
      });
}

result<fault_schedule::fault_end> fault_schedule::reloadEntry() {
  const std::string Name = Cluster.entryName(randomEntry());
  if (ActiveTargets.contains(Name))
    return fault_end(doNothing);
  print("reload " + Name);
  TRY_STATUS(Cluster.Processes.signal(Name, SIGHUP));
  return fault_end(doNothing);
}

result<fault_schedule::fault_end> fault_schedule::takeStoreDown() {
  return injectFault("store", fault_kind::Store, "", "store down",
                     valueSetter(Cluster.Store.IsDown, true),
                     valueSetter(Cluster.Store.IsDown, false));
}

result<fault_schedule::fault_end> fault_schedule::dropStoreResponses() {
  return injectFault("store", fault_kind::Store, "",
                     "store drops its responses to writes",
                     valueSetter(Cluster.Store.DropsResponses, true),
                     valueSetter(Cluster.Store.DropsResponses, false));
}

status fault_schedule::copyOrRestoreStore() {
  const std::uint64_t Drawn = RestorationRandom() % FaultsPerRestoration;
  if (Drawn == 0)
    return restoreStore();
  if (Drawn <= FaultsPerRestoration / 2)
    Cluster.Store.makeCopy();
  return success{};
}

status fault_schedule::restoreStore() {
  if (ActiveTargets.contains("store"))
    return success{};
  print("store restored from an older copy");
  const auto IntervalIndex =
      Cluster.FaultLog.startInterval(fault_kind::Store, "");
  Cluster.Store.IsDown = true;
  std::this_thread::sleep_for(RestorationTime);
  Cluster.Store.restore();
  Cluster.Store.IsDown = false;
  std::this_thread::sleep_for(RepeatTime);
  Cluster.Store.repeatOutsideWrites();
  Cluster.FaultLog.endInterval(IntervalIndex);
  return success{};
}

result<fault_schedule::fault_end> fault_schedule::injectStoreLinkFault() {
  const std::size_t Entry = randomEntry();
  const link_fault Fault = randomLinkFault();
  const std::string Name = Cluster.entryName(Entry);
  fault_proxy &Link = *Cluster.StoreLinks[Entry];
  return injectFault("link of " + Name, fault_kind::Store, Name,
                     std::string(nameOf(Fault)) + " between store and " + Name,
                     linkFaultSetter(Link, Fault),
                     linkFaultSetter(Link, link_fault::None));
}

result<fault_schedule::fault_end> fault_schedule::injectEndpointLinkFault() {
  const std::size_t Index = randomEndpoint();
  const link_fault Fault = randomLinkFault();
  const std::string Name = nameOfEndpoint(Index);
  fault_proxy &Link = *Cluster.EndpointLinks[Index];
  return injectFault(Name, fault_kind::Endpoint, Name,
                     std::string(nameOf(Fault)) + " on the link of " + Name,
                     linkFaultSetter(Link, Fault),
                     linkFaultSetter(Link, link_fault::None));
}

result<fault_schedule::fault_end> fault_schedule::degradeEndpoint() {
  static constexpr std::array<endpoint_behavior, 3> Behaviors = {
      endpoint_behavior::Full, endpoint_behavior::Failing,
      endpoint_behavior::TruncatingStreams};
  const std::size_t Index = randomEndpoint();
  const endpoint_behavior Behavior = Behaviors[Random() % Behaviors.size()];
  const std::string Name = nameOfEndpoint(Index);
  auto &Current = Cluster.Endpoints[Index]->Behavior;
  return injectFault(Name, fault_kind::Endpoint, Name,
                     Name + " " + std::string(nameOf(Behavior)),
                     valueSetter(Current, Behavior),
                     valueSetter(Current, endpoint_behavior::Healthy));
}

result<fault_schedule::fault_end> fault_schedule::crashEndpoint() {
  const std::size_t Index = randomEndpoint();
  const std::string Name = nameOfEndpoint(Index);
  fault_proxy &Link = *Cluster.EndpointLinks[Index];
  return injectFault(Name, fault_kind::Endpoint, Name, Name + " crashes",
                     linkFaultSetter(Link, link_fault::Reset),
                     [=, this, &Link]() -> status {
                       Cluster.unregisterEndpoint(Index);
                       Link.setFault(link_fault::None);
                       Cluster.restartEndpoint(Index);
                       return success{};
                     });
}

result<fault_schedule::fault_end> fault_schedule::drainEndpoint() {
  const std::size_t Index = randomEndpoint();
  const std::string Name = nameOfEndpoint(Index);
  if (!ActiveTargets.insert(Name).second)
    return fault_end(doNothing);
  print(Name + " drains");
  const std::string Id = Cluster.registerEndpoint(Index, "draining");
  const steady_time DrainStartedAt = now();
  DrainStarts.push_back({Id, DrainStartedAt});
  // The endpoint keeps serving until both the duration of this fault and
  // 2 * DrainBound are over.
  return fault_end([=, this]() -> status {
    PendingEnds.emplace(DrainStartedAt + 2 * DrainBound, [=, this]() -> status {
      print(Name + " starts again");
      Cluster.unregisterEndpoint(Index);
      Cluster.restartEndpoint(Index);
      ActiveTargets.erase(Name);
      return success{};
    });
    return success{};
  });
}

result<fault_schedule::fault_end> fault_schedule::revokeKey() {
  if (!ActiveTargets.insert("key").second)
    return fault_end(doNothing);
  // In half of the cases a link fault may keep one entry process from reading
  // the new configuration.
  fault_end EndLinkFault = doNothing;
  if (Random() % 2 == 0) {
    TRY(EndLinkFault, injectStoreLinkFault());
  }
  print("key revoked");
  Cluster.writeConfiguration(false);
  Revocations.push_back({RevokedAccount, now()});
  return fault_end([this, EndLinkFault]() -> status {
    // Restores the key only after RevokeBound, so that the check of the bound
    // applies.
    PendingEnds.emplace(now() + RevokeBound, [this, EndLinkFault]() -> status {
      TRY_STATUS(EndLinkFault());
      print("key restored");
      Restorations.push_back({RevokedAccount, now()});
      Cluster.writeConfiguration(true);
      ActiveTargets.erase("key");
      return success{};
    });
    return success{};
  });
}

status fault_schedule::restartOneByOne() {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry) {
    const std::string Name = Cluster.entryName(Entry);
    print("planned stop of " + Name);
    const auto IntervalIndex =
        Cluster.FaultLog.startInterval(fault_kind::Stop, Name);
    TRY_STATUS(Cluster.Processes.signal(Name, SIGTERM));
    TRY_STATUS(awaitStop(Entry));
    TRY_STATUS(Cluster.startEntry(Entry));
    Cluster.FaultLog.endInterval(IntervalIndex);
    std::this_thread::sleep_for(RestartInterval);
  }
  return success{};
}

status fault_schedule::stopAll() {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    TRY_STATUS(Cluster.Processes.signal(Cluster.entryName(Entry), SIGTERM));
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    TRY_STATUS(awaitStop(Entry));
  return success{};
}

void fault_schedule::recordEvents(soak_history &History) const {
  History.Revocations = Revocations;
  History.Restorations = Restorations;
  History.DrainStarts = DrainStarts;
}

} // namespace azurehaven::platform
