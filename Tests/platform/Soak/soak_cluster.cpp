#include "Soak/soak_cluster.h"

#include "LibScenario/eventually.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace azurehaven::platform {

namespace {

using nlohmann::json;

constexpr int StoreHost = 2;
constexpr int FirstEntryHost = 10;
constexpr int FirstStoreLinkHost = 40;
constexpr int FirstEndpointHost = 100;
constexpr int FirstEndpointLinkHost = 150;
constexpr std::uint16_t StorePort = 9000;
constexpr std::uint16_t ReadyPort = 8001;
constexpr std::uint16_t EndpointPort = 9100;
/// Enough for all concurrent watches and streams of a soak run.
constexpr std::size_t DoubleConnections = 2000;
constexpr milliseconds ExitPollInterval{30};
constexpr const char *Domains[] = {"a", "b", "c"};

std::string domainOf(std::size_t Index) { return Domains[Index % 3]; }

json routeOf(const char *Name, const char *Kind, const char *Service,
             int TimeoutMs, int Attempts) {
  return {{"name", Name},
          {"host", "soak.example"},
          {"path_prefix", "/" + std::string(Name) + "/"},
          {"kind", Kind},
          {"service", Service},
          {"timeout_ms", TimeoutMs},
          {"slo_ms", 500},
          {"max_attempts", Attempts}};
}

json accountOf(const std::string &Name, bool HasKey) {
  json Keys = json::array();
  if (HasKey)
    Keys.push_back("key-of-" + Name);
  return {{"name", Name}, {"api_keys", Keys}};
}

} // namespace

soak_cluster::soak_cluster(soak_settings InitialSettings)
    : Settings(std::move(InitialSettings)), Work(Loop.get_executor()),
      EndpointStartCounts(EndpointCount), EndpointReleases(EndpointCount, "v1"),
      Processes(Settings.Folder) {}

soak_cluster::~soak_cluster() {
  // Makes pending watch calls of the store double return.
  Store.IsDown = true;
  Loop.stop();
  if (Thread.joinable())
    Thread.join();
}

network_address soak_cluster::loopbackAddress(int Host,
                                              std::uint16_t Port) const {
  return {"127.88." + std::to_string(Settings.Net) + "." + std::to_string(Host),
          Port};
}

network_address soak_cluster::entryAddress(std::size_t Index,
                                           std::uint16_t Port) const {
  return loopbackAddress(FirstEntryHost + static_cast<int>(Index), Port);
}

std::string soak_cluster::entryName(std::size_t Index) const {
  return "entry-" + std::to_string(Index + 1);
}

result<std::unique_ptr<soak_cluster>>
soak_cluster::create(soak_settings Settings) {
  std::unique_ptr<soak_cluster> Cluster(new soak_cluster(std::move(Settings)));
  TRY_STATUS(Cluster->open());
  return Cluster;
}

status soak_cluster::open() {
  http_server_limits Limits;
  Limits.Connections = DoubleConnections;
  Limits.Workers = DoubleConnections;
  const auto Serve = [&](const network_address &Address,
                         http_handler Handler) -> status {
    TRY(auto Server, http_server::listen(Address, Limits, std::move(Handler)));
    Servers.push_back(std::move(Server));
    return success{};
  };
  TRY_STATUS(
      Serve(loopbackAddress(StoreHost, StorePort),
            [this](const auto &Request) { return Store.serve(Request); }));
  for (std::size_t Index = 0; Index < EndpointCount; ++Index) {
    const char *Service =
        Index < EndpointCount / 2 ? PlainService : EngineService;
    Endpoints.push_back(std::make_unique<endpoint_double>(Service, Runs));
    const int Host = static_cast<int>(Index);
    const auto Address =
        loopbackAddress(FirstEndpointHost + Host, EndpointPort);
    endpoint_double &Endpoint = *Endpoints.back();
    TRY_STATUS(Serve(Address, [&Endpoint](const auto &Request) {
      return Endpoint.serve(Request);
    }));
    TRY(auto Link,
        fault_proxy::listen(
            Loop, loopbackAddress(FirstEndpointLinkHost + Host, EndpointPort),
            Address));
    EndpointLinks.push_back(std::move(Link));
    restartEndpoint(Index);
  }
  writeConfiguration(soak_configuration());
  for (std::size_t Index = 0; Index < EntryCount; ++Index) {
    TRY(auto Link,
        fault_proxy::listen(
            Loop,
            loopbackAddress(FirstStoreLinkHost + static_cast<int>(Index),
                            StorePort),
            loopbackAddress(StoreHost, StorePort)));
    StoreLinks.push_back(std::move(Link));
    TRY_STATUS(writeSettings(Index));
  }
  Thread = std::thread([this] { Loop.run(); });
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    TRY_STATUS(startEntry(Index));
  return success{};
}

status soak_cluster::writeSettings(std::size_t Index) const {
  std::ofstream File(Settings.Folder + "/" + entryName(Index) + ".yaml");
  const auto Store =
      loopbackAddress(FirstStoreLinkHost + static_cast<int>(Index), StorePort);
  File << "node: \"" << entryName(Index) << "\"\n"
       << "zone: \"" << domainOf(Index) << "\"\n"
       << "listen:\n  front: \"" << callerAddress(Index).text()
       << "\"\n  ready: \"" << entryAddress(Index, ReadyPort).text()
       << "\"\n  directory: \"" << directoryAddress(Index).text() << "\"\n"
       << "port_range: [8100, 8110]\n"
       << "provider: { address: \"" << Store.text() << "\" }\n"
       << "limits: { max_fds: 2000 }\n"
       << "bounds:\n  grace_s: " << StopGrace.count() / 1000
       << "\n  fail_closed: true\n  revoke_ms: " << RevokeBound.count()
       << "\n  drain_ms: " << DrainBound.count()
       << "\n  retry_budget_ratio: " << RetryRatio
       << "\n  budget_window_s: " << RetryWindow.count() / 1000
       << "\n  budget_slack: " << RetrySlack
       << "\n  expose_share: 0.15\n  session_s: 5\n";
  File.close();
  if (!File)
    return error{error_code::Internal,
                 "can't write the settings of " + entryName(Index)};
  return success{};
}

status soak_cluster::startEntry(std::size_t Index) {
  const bool IsFirstStart = StartedEntries.insert(Index).second;
  const bool IsPrevious = IsFirstStart && !Settings.PreviousProduct.empty();
  {
    std::lock_guard Lock(ProcessMutex);
    TRY_STATUS(Processes.start(
        entryName(Index),
        {"/usr/bin/env",
         "AZUREHAVEN_NODE_FILE=" + Settings.Folder + "/" + entryName(Index) +
             ".yaml",
         IsPrevious ? Settings.PreviousProduct : Settings.Product,
         "platform-entry"}));
  }
  // A signal that arrives before the program has installed its handlers ends
  // the process, so wait until the readiness port responds.
  return eventually([&]() -> status {
    http_request Request;
    Request.Path = "/v1/ready";
    const auto Outcome = pooled_http_transport().send(
        entryAddress(Index, ReadyPort), Request, {}, connection_use::Fresh);
    if (std::holds_alternative<http_response>(Outcome)) {
      std::lock_guard Lock(ProcessMutex);
      ReadyEntries.insert(Index);
      return success{};
    }
    return error{error_code::Unavailable, entryName(Index) + " did not start"};
  });
}

std::string soak_cluster::registerEndpoint(std::size_t Index,
                                           const char *State) {
  endpoint_double &Endpoint = *Endpoints[Index];
  const std::string Id = Endpoint.id();
  const auto Address = loopbackAddress(
      FirstEndpointLinkHost + static_cast<int>(Index), EndpointPort);
  Store.put("servers/" + Id, json{{"service", Endpoint.service()},
                                  {"address", Address.text()},
                                  {"zone", domainOf(Index)},
                                  {"version", EndpointReleases[Index]},
                                  {"slots", 32},
                                  {"state", State},
                                  {"cold_left_ms", 0},
                                  {"call_seq", 0},
                                  {"born", 1000 + EndpointStartCounts[Index]}}
                                 .dump());
  return Id;
}

void soak_cluster::unregisterEndpoint(std::size_t Index) {
  Store.remove("servers/" + Endpoints[Index]->id());
}

void soak_cluster::restartEndpoint(std::size_t Index) {
  Endpoints[Index]->restart("endpoint-" + std::to_string(Index) + "-" +
                            std::to_string(++EndpointStartCounts[Index]));
  registerEndpoint(Index, "ready");
}

void soak_cluster::setServiceFailing(const std::string &Service,
                                     bool IsFailing) {
  for (const auto &Endpoint : Endpoints)
    if (Endpoint->service() == Service)
      Endpoint->IsServiceFailing = IsFailing;
}

void soak_cluster::setRefused(const std::string &Service, std::size_t Percent) {
  for (const auto &Endpoint : Endpoints)
    if (Endpoint->service() == Service)
      Endpoint->RefusedPercent = Percent;
}

void soak_cluster::orderRollout(milliseconds TimeLimit) {
  const std::size_t Target = EndpointCount - 1;
  unregisterEndpoint(Target);
  EndpointReleases[Target] = "v2";
  Store.put("op/rollout/engines",
            json{{"service", "engines"},
                 {"target", "v2"},
                 {"duration_s", static_cast<double>(TimeLimit.count()) / 1000}}
                .dump());
  restartEndpoint(Target);
}

std::string soak_cluster::rolloutState() {
  for (const auto &[Key, Value] : Store.values("status/rollout/engines")) {
    const json Status = json::parse(Value, nullptr, false);
    if (Status.is_object())
      return Status.value("state", "");
  }
  return {};
}

void soak_cluster::print(const std::string &Text) const {
  const auto At = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - StartedAt);
  std::cout << std::to_string(At.count()) + " ms: " + Text + "\n" << std::flush;
}

status soak_cluster::signalEntry(std::size_t Index, int Signal) {
  std::lock_guard Lock(ProcessMutex);
  if (Signal == SIGSTOP)
    PausedEntries.insert(Index);
  else if (Signal == SIGCONT || Signal == SIGKILL)
    PausedEntries.erase(Index);
  if (Signal == SIGTERM || Signal == SIGKILL)
    ReadyEntries.erase(Index);
  return Processes.signal(entryName(Index), Signal);
}

result<int> soak_cluster::awaitEntryExit(std::size_t Index,
                                         milliseconds Limit) {
  const auto GiveUpAt = std::chrono::steady_clock::now() + Limit;
  while (true) {
    {
      std::lock_guard Lock(ProcessMutex);
      auto Exit = Processes.awaitExit(entryName(Index), milliseconds(1));
      if (!isError(Exit) || std::chrono::steady_clock::now() >= GiveUpAt)
        return Exit;
    }
    std::this_thread::sleep_for(ExitPollInterval);
  }
}

void soak_cluster::stallEntries(const std::set<std::size_t> &Indexes,
                                milliseconds Step) {
  std::lock_guard Lock(ProcessMutex);
  const auto SignalAll = [&](int Signal) {
    for (const std::size_t Index : Indexes)
      if (!PausedEntries.contains(Index) && ReadyEntries.contains(Index))
        static_cast<void>(Processes.signal(entryName(Index), Signal));
  };
  SignalAll(SIGSTOP);
  std::this_thread::sleep_for(Step);
  SignalAll(SIGCONT);
}

void soak_cluster::reloadEntry(std::size_t Index) {
  std::lock_guard Lock(ProcessMutex);
  if (ReadyEntries.contains(Index))
    static_cast<void>(Processes.signal(entryName(Index), SIGHUP));
}

void soak_cluster::setStandingStill(std::size_t Endpoint, bool StandsStill) {
  Endpoints[Endpoint]->StandsStill = StandsStill;
  EndpointLinks[Endpoint]->condition().IsHeld = StandsStill;
}

void soak_cluster::writeConfiguration(bool HasKey) {
  std::lock_guard Lock(ConfigurationMutex);
  HasRevocableKey = HasKey;
  writeCurrentConfiguration();
}

void soak_cluster::writeConfiguration(const soak_configuration &Changed) {
  std::lock_guard Lock(ConfigurationMutex);
  Configuration = Changed;
  IdleLimits.record(Configuration.IdleTimeout);
  writeCurrentConfiguration();
}

void soak_cluster::writeCurrentConfiguration() {
  const bool IsShort = Configuration.HasShortTimeouts;
  const int PlainTimeout =
      IsShort ? static_cast<int>(ShortestPlainTimeout.count()) : 4000;
  json Stream = routeOf(
      "stream", "streaming", "engines",
      IsShort ? static_cast<int>(ShortestStreamTimeout.count()) : 8000, 3);
  Stream["resumable"] = true;
  Stream["gap_aim_ms"] = 2000;
  Stream["sizes"] = {SmallModel, LargeModel};
  json Routes = {routeOf("lookup", "idempotent", "plain", PlainTimeout, 3),
                 routeOf("booking", "non_idempotent", "plain", PlainTimeout, 2),
                 Stream};
  for (int Number = 0; Number < Configuration.FurtherRoutes; ++Number)
    Routes.push_back(routeOf(("further-" + std::to_string(Number)).c_str(),
                             "idempotent", "plain", 4000, 3));
  const json Models = {{{"name", SmallModel}, {"cost", 0.1}},
                       {{"name", LargeModel}, {"cost", 1.0}}};
  const json Engine = {
      {"slots", 32}, {"kv_capacity", 100000}, {"models", Models}};
  Store.put(
      "op/config",
      json{{"version", ++ConfigurationVersion},
           {"limits",
            {{"max_header_bytes", 16384},
             {"max_body_bytes", 1 << 20},
             {"header_timeout_ms", 5000},
             {"idle_timeout_ms", Configuration.IdleTimeout.count()}}},
           {"routes", Routes},
           {"services",
            {{{"name", "plain"}, {"max_conns", 500}},
             {{"name", "engines"}, {"max_conns", 500}, {"engine", Engine}}}},
           {"tenants",
            {accountOf(SteadyAccount, true),
             accountOf(RevokedAccount, HasRevocableKey)}}}
          .dump());
}

} // namespace azurehaven::platform
