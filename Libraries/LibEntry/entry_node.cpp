#include "LibEntry/entry_node.h"

#include "LibLog/console_event_log.h"

#include "LibEntry/automation.h"
#include "LibEntry/configuration_poller.h"
#include "LibEntry/endpoint_poller.h"
#include "LibEntry/heartbeat_service.h"
#include "LibEntry/operator_api.h"
#include "LibEntry/peer_custody_client.h"
#include "LibEntry/periodic_task.h"
#include "LibHttp/pooled_http_transport.h"
#include "LibMembership/http_vm_list.h"
#include "LibPeer/tcp_peer_network.h"
#include "LibStore/http_store.h"
#include "LibTypes/fingerprint.h"

#include <thread>

namespace azurehaven {

namespace {

constexpr milliseconds HeartbeatInterval{500};
constexpr milliseconds StorePollInterval{1000};
constexpr milliseconds VmListInterval{500};
constexpr milliseconds EndpointPollInterval{250};
constexpr milliseconds AutomationInterval{500};
constexpr milliseconds QueueAdvanceInterval{20};
constexpr milliseconds FlushWaitLimit{100};
constexpr milliseconds BillRetryInterval{100};
/// Interval for retrying claim writes and adopting orphaned bills.
constexpr milliseconds LedgerRecoveryInterval{1000};
/// Added to the time to live of a discovery response, for responses sent by
/// VMs that had not yet received the notice that this VM is leaving.
constexpr milliseconds DiscoveryMargin{1500};
constexpr milliseconds DrainPollInterval{50};
constexpr milliseconds FinalFlushTimeout{30000};
/// Connections that may be idle while every stream is in use.
constexpr std::size_t ExtraIdleConnections = 1024;
/// Workers besides those of the streams, for refusals, discovery and plain
/// services.
constexpr std::size_t ExtraWorkers = 256;
constexpr std::size_t OperatorConnections = 256;
constexpr std::size_t OperatorWorkers = 64;
constexpr std::size_t OperatorBodyLimitBytes = 1 << 20;

/// Later starts get larger numbers as long as the wall clock does not step
/// back by more than the time between two starts.
std::uint64_t incarnationAt(unix_millis Now) {
  return static_cast<std::uint64_t>(Now.count());
}

class running_entry_node : public entry_node {
public:
  explicit running_entry_node(entry_settings Checked)
      : Settings(std::move(Checked)),
        Incarnation(incarnationAt(Clock.wallNow())),
        Log(Settings.Vm.text(), Settings.LogLevel),
        RawStore(Transport, Settings.Store, Settings.StoreTimeout),
        Store(RawStore), Freshness(Settings.Vm),
        Members(
            {Settings.Vm, Incarnation, member_state::Starting, Settings.Domain},
            Settings.Listen, {}),
        Router(Settings.Vm, Incarnation,
               fingerprintOf(Settings.Vm.text(), Incarnation), {}),
        Gate(Router), CustodyClient(Members, Clock),
        Bills(Store, CustodyClient, Settings.Vm, Incarnation, {}),
        Claims(Store, Settings.Vm, Incarnation),
        Ratings(Transport, Settings.RatingService, Settings.RatingsPerSecond,
                Router, Metrics),
        List(Transport, Settings.VmList, Settings.Vm),
        Services{Settings,      Clock,     Log,
                 Metrics,       Transport, Holder,
                 Freshness,     Members,   Router,
                 PromptCrashes, Gate,      Decisions,
                 Bills,         Claims,    RequestIds,
                 Store,         Ratings,   [this] { sendHeartbeatsNow(); }},
        ConfigurationPoller(Services), Automation(Services),
        EndpointPoller(Services, List), CallerApi(Services) {}

  ~running_entry_node() override {
    // The background tasks use the servers and the network, so they stop first.
    Tasks.clear();
    IsFlushing = false;
    if (Flusher.joinable())
      Flusher.join();
    CallerServer.reset();
    OperatorServer.reset();
    HeartbeatTask.reset();
    Network.reset();
  }

  status open() {
    TRY(Network, tcp_peer_network::listen(
                     Settings.PeerListen, Settings.Vm, Incarnation,
                     [this](const peer_frame &Frame) { receive(Frame); }));
    CustodyClient.setNetwork(*Network);
    HeartbeatService = std::make_unique<heartbeat_service>(
        Services, *Network, CustodyTable, Incarnation);
    IsReceiving = true;
    OperatorApi = std::make_unique<operator_api>(Services, Store, CallerApi,
                                                 *Network, CustodyTable);
    http_server_limits OperatorLimits;
    OperatorLimits.Connections = OperatorConnections;
    OperatorLimits.Workers = OperatorWorkers;
    OperatorLimits.BodyBytes = OperatorBodyLimitBytes;
    TRY(OperatorServer,
        http_server::listen(Settings.OperatorListen, OperatorLimits,
                            [this](const served_request &Request) {
                              return OperatorApi->serve(Request);
                            }));
    http_server_limits CallerLimits;
    CallerLimits.Connections = Settings.MaximumStreams + ExtraIdleConnections;
    CallerLimits.Workers = Settings.MaximumStreams + ExtraWorkers;
    CallerLimits.BodyBytes = Settings.BodyLimitBytes;
    TRY(CallerServer,
        http_server::listen(Settings.Listen, CallerLimits,
                            [this](const served_request &Request) {
                              return CallerApi.serve(Request);
                            }));
    startTasks();
    Log.write(log_level::Info, "entry_started",
              {{"listen", Settings.Listen.text()},
               {"domain", Settings.Domain.text()}});
    return success{};
  }

  void drain() override {
    Log.write(log_level::Info, "drain_started", {});
    Members.advanceOwnState(member_state::Leaving);
    sendHeartbeatsNow();
    std::this_thread::sleep_for(Settings.DiscoveryTimeToLive + DiscoveryMargin);
    CallerServer->stop();
    while (CallerApi.requestsInFlight() > 0)
      std::this_thread::sleep_for(DrainPollInterval);
    flushRemainingBills();
    Log.write(log_level::Info, "drain_finished", {});
  }

private:
  void startTasks() {
    HeartbeatTask = std::make_unique<periodic_task>(
        HeartbeatInterval, [this] { HeartbeatService->sendHeartbeats(); });
    addTask(VmListInterval, [this] {
      if (EndpointPoller.refreshList())
        Network->setPeers(Members.peerAddresses());
    });
    addTask(StorePollInterval, [this] { ConfigurationPoller.poll(); });
    addTask(EndpointPollInterval, [this] {
      EndpointPoller.refreshReports();
      startServingIfReady();
    });
    addTask(AutomationInterval, [this] { Automation.run(); });
    addTask(QueueAdvanceInterval, [this] { Gate.advance(Clock.now()); });
    addTask(BillRetryInterval,
            [this] { Bills.retryFailedSegments(Clock.now()); });
    addTask(LedgerRecoveryInterval, [this] {
      Claims.retryPendingWrites();
      adoptOrphanedBills([this](const bill_origin &Origin) {
        return Members.hasLeftOrFailed(Origin.Vm, Clock.now()) ||
               Members.hasRestarted(Origin.Vm, Origin.Incarnation);
      });
    });
    Flusher = std::thread([this] {
      while (IsFlushing) {
        Bills.waitForQueuedBills(FlushWaitLimit);
        Bills.flush(Clock.now());
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
  }

  void addTask(milliseconds Interval, std::function<void()> Task) {
    Tasks.push_back(std::make_unique<periodic_task>(Interval, std::move(Task)));
  }

  /// Starts serving once the configuration is current and every endpoint has
  /// been polled.
  void startServingIfReady() {
    if (Members.ownState() != member_state::Starting ||
        !EndpointPoller.hasReports() || !Services.currentConfiguration())
      return;
    Members.advanceOwnState(member_state::Serving);
    sendHeartbeatsNow();
    Log.write(log_level::Info, "entry_serving", {});
  }

  void sendHeartbeatsNow() {
    if (HeartbeatTask)
      HeartbeatTask->wake();
  }

  void receive(const peer_frame &Frame) {
    // Drops frames that arrive during startup. The protocol tolerates the loss
    // of any frame.
    if (IsReceiving)
      HeartbeatService->receive(Frame);
  }

  /// Queues the bills held in custody for the origins that satisfy ShouldAdopt,
  /// so that this VM stores them.
  void adoptOrphanedBills(
      const std::function<bool(const bill_origin &)> &ShouldAdopt) {
    for (const auto &Text : CustodyTable.takeOrphanedBills(ShouldAdopt)) {
      auto Bill = decodeBill(Text);
      if (isError(Bill) || isError(Bills.add(valueOf(Bill))))
        Log.write(log_level::Error, "bill_not_adopted", {{"bill", Text}});
      else
        Metrics.increment("azurehaven_bills_adopted_total");
    }
  }

  void flushRemainingBills() {
    adoptOrphanedBills([](const bill_origin &) { return true; });
    const steady_time Deadline = Clock.now() + FinalFlushTimeout;
    while (!Bills.isSafeToStop() && Clock.now() < Deadline)
      std::this_thread::sleep_for(DrainPollInterval);
    if (!Bills.isSafeToStop())
      Log.write(log_level::Error, "bills_left_behind",
                {{"count", std::to_string(Bills.counts().Unwritten)}});
  }

  const entry_settings Settings;
  system_clock_source Clock;
  const std::uint64_t Incarnation;
  console_event_log Log;
  metrics Metrics;
  pooled_http_transport Transport;
  http_store RawStore;
  counting_store Store;
  configuration_holder Holder;
  configuration_freshness Freshness;
  member_table Members;
  router Router;
  prompt_crash_registry PromptCrashes;
  admission_gate Gate;
  decision_log Decisions;
  peer_custody_client CustodyClient;
  custody_table CustodyTable;
  bill_committer Bills;
  claim_registry Claims;
  request_id_registry RequestIds;
  rating_sender Ratings;
  http_vm_list List;
  entry_services Services;
  configuration_poller ConfigurationPoller;
  automation Automation;
  endpoint_poller EndpointPoller;
  caller_api CallerApi;
  std::atomic<bool> IsReceiving = false;
  std::atomic<bool> IsFlushing = true;
  std::unique_ptr<heartbeat_service> HeartbeatService;
  std::unique_ptr<operator_api> OperatorApi;
  std::unique_ptr<tcp_peer_network> Network;
  std::unique_ptr<http_server> OperatorServer;
  std::unique_ptr<http_server> CallerServer;
  std::unique_ptr<periodic_task> HeartbeatTask;
  std::vector<std::unique_ptr<periodic_task>> Tasks;
  std::thread Flusher;
};

} // namespace

result<std::unique_ptr<entry_node>> entry_node::start(entry_settings Settings) {
  auto Node = std::make_unique<running_entry_node>(std::move(Settings));
  TRY_STATUS(Node->open());
  return std::unique_ptr<entry_node>(std::move(Node));
}

} // namespace azurehaven
