#include "Soak/fault_schedule.h"

#include <array>
#include <csignal>
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

/// In the order of the enumerators.
constexpr std::array<const char *, 6> LinkFaultNames = {
    "no fault",           "delays", "resets", "dropped responses",
    "repeated responses", "silence"};
constexpr std::array<const char *, 5> BehaviorNames = {
    "is healthy", "is full", "fails", "truncates streams",
    "refuses every second request"};

std::string nameOf(link_fault Fault) {
  return LinkFaultNames.at(static_cast<std::size_t>(Fault));
}

std::string nameOf(endpoint_behavior Behavior) {
  return BehaviorNames.at(static_cast<std::size_t>(Behavior));
}

std::string nameOfEndpoint(std::size_t Index) {
  return "endpoint " + std::to_string(Index);
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
    : Cluster(Cluster), Random(Seed), RestorationRandom(~Seed) {}

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
  Cluster.print(Text);
  const auto IntervalIndex = Cluster.FaultLog.startInterval(Kind, LoggedTarget);
  TRY_STATUS(Begin());
  return fault_end([=, this, End = std::move(End)]() -> status {
    TRY_STATUS(End());
    Cluster.print("ended: " + Text);
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
      [=, this] { return Cluster.signalEntry(Entry, SIGKILL); },
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
          TRY_STATUS(Cluster.signalEntry(Entry, SIGKILL));
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
      Link.condition().Fault = Fault;
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
  const std::size_t Entry = randomEntry();
  const std::string Name = Cluster.entryName(Entry);
  return injectFault(
      Name, fault_kind::Pause, Name, "pause " + Name,
      [=, this] { return Cluster.signalEntry(Entry, SIGSTOP); },
      [=, this] { return Cluster.signalEntry(Entry, SIGCONT); });
}

status fault_schedule::awaitStop(std::size_t Entry) {
  const std::string Name = Cluster.entryName(Entry);
  TRY(const int Status, Cluster.awaitEntryExit(Entry, StopGrace + StopSlack));
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
      [=, this] { return Cluster.signalEntry(Entry, SIGTERM); },
      [=, this]() -> status {
        TRY_STATUS(awaitStop(Entry));
        return Cluster.startEntry(Entry);
      });
}

result<fault_schedule::fault_end> fault_schedule::reloadEntry() {
  const std::size_t Entry = randomEntry();
  Cluster.print("reload " + Cluster.entryName(Entry));
  Cluster.reloadEntry(Entry);
  return fault_end(doNothing);
}

result<fault_schedule::fault_end> fault_schedule::takeStoreDown() {
  return switchStore(Cluster.Store.IsDown, "store down");
}

result<fault_schedule::fault_end> fault_schedule::dropStoreResponses() {
  return switchStore(Cluster.Store.DropsResponses,
                     "store drops its responses to writes");
}

result<fault_schedule::fault_end>
fault_schedule::switchStore(std::atomic<bool> &Switch,
                            const std::string &Text) {
  return injectFault("store", fault_kind::Store, "", Text,
                     valueSetter(Switch, true), valueSetter(Switch, false));
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
  Cluster.print("store restored from an older copy");
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
  const std::string Name = Cluster.entryName(Entry);
  return injectLinkFault("link of " + Name, fault_kind::Store, Name,
                         " between store and " + Name,
                         *Cluster.StoreLinks[Entry]);
}

result<fault_schedule::fault_end> fault_schedule::injectEndpointLinkFault() {
  const std::size_t Index = randomEndpoint();
  const std::string Name = nameOfEndpoint(Index);
  return injectLinkFault(Name, fault_kind::Endpoint, Name,
                         " on the link of " + Name,
                         *Cluster.EndpointLinks[Index]);
}

result<fault_schedule::fault_end>
fault_schedule::injectLinkFault(const std::string &Target, fault_kind Kind,
                                const std::string &LoggedTarget,
                                const std::string &Place, fault_proxy &Link) {
  const link_fault Fault = randomLinkFault();
  auto &Current = Link.condition().Fault;
  return injectFault(Target, Kind, LoggedTarget, nameOf(Fault) + Place,
                     valueSetter(Current, Fault),
                     valueSetter(Current, link_fault::None));
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
                     Name + " " + nameOf(Behavior),
                     valueSetter(Current, Behavior),
                     valueSetter(Current, endpoint_behavior::Healthy));
}

result<fault_schedule::fault_end> fault_schedule::crashEndpoint() {
  const std::size_t Index = randomEndpoint();
  const std::string Name = nameOfEndpoint(Index);
  fault_proxy &Link = *Cluster.EndpointLinks[Index];
  return injectFault(Name, fault_kind::Endpoint, Name, Name + " crashes",
                     valueSetter(Link.condition().Fault, link_fault::Reset),
                     [=, this, &Link]() -> status {
                       Cluster.unregisterEndpoint(Index);
                       Link.condition().Fault = link_fault::None;
                       Cluster.restartEndpoint(Index);
                       return success{};
                     });
}

result<fault_schedule::fault_end> fault_schedule::drainEndpoint() {
  const std::size_t Index = randomEndpoint();
  const std::string Name = nameOfEndpoint(Index);
  if (!ActiveTargets.insert(Name).second)
    return fault_end(doNothing);
  Cluster.print(Name + " drains");
  const std::string Id = Cluster.registerEndpoint(Index, "draining");
  const steady_time DrainStartedAt = now();
  DrainStarts.push_back({Id, DrainStartedAt});
  // The endpoint keeps serving until both the duration of this fault and
  // 2 * DrainBound are over.
  return fault_end([=, this]() -> status {
    PendingEnds.emplace(DrainStartedAt + 2 * DrainBound, [=, this]() -> status {
      Cluster.print(Name + " starts again");
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
  Cluster.print("key revoked");
  Cluster.writeConfiguration(false);
  Revocations.push_back({RevokedAccount, now()});
  return fault_end([this, EndLinkFault]() -> status {
    // Restores the key only after RevokeBound, so that the check of the bound
    // applies.
    PendingEnds.emplace(now() + RevokeBound, [this, EndLinkFault]() -> status {
      TRY_STATUS(EndLinkFault());
      Cluster.print("key restored");
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
    Cluster.print("planned stop of " + Name);
    const auto IntervalIndex =
        Cluster.FaultLog.startInterval(fault_kind::Stop, Name);
    TRY_STATUS(Cluster.signalEntry(Entry, SIGTERM));
    TRY_STATUS(awaitStop(Entry));
    TRY_STATUS(Cluster.startEntry(Entry));
    Cluster.FaultLog.endInterval(IntervalIndex);
    std::this_thread::sleep_for(RestartInterval);
  }
  return success{};
}

status fault_schedule::stopAll() {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    TRY_STATUS(Cluster.signalEntry(Entry, SIGTERM));
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
