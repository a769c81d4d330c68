#include "LibEntry/entry_node.h"

#include "LibLog/console_event_log.h"

#include "LibEntry/automation.h"
#include "LibEntry/endpoint_poller.h"
#include "LibEntry/heartbeat_service.h"
#include "LibEntry/operator_api.h"
#include "LibEntry/peer_custody.h"
#include "LibEntry/periodic_task.h"
#include "LibEntry/store_follower.h"
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
constexpr milliseconds ListInterval{500};
constexpr milliseconds ReportInterval{250};
constexpr milliseconds AutomationInterval{500};
constexpr milliseconds GateInterval{20};
constexpr milliseconds FlushWait{100};
constexpr milliseconds BillRetryInterval{100};
constexpr milliseconds OrphanInterval{1000};
/// Callers that asked just before the stop was known everywhere.
constexpr milliseconds DiscoverySlack{1500};
constexpr milliseconds DrainPollInterval{50};
constexpr milliseconds LastFlushLimit{30000};
/// Connections that may stay idle while every stream is in use.
constexpr std::size_t SpareConnections = 1024;
/// Workers that refuse, answer discovery and run services beside the streams.
constexpr std::size_t SpareWorkers = 256;
constexpr std::size_t OperatorConnections = 256;
constexpr std::size_t OperatorWorkers = 64;
constexpr std::size_t OperatorBodyLimit = 1 << 20;

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
        Gate(Router), Custody(Members, Clock),
        Bills(Store, Custody, Settings.Vm, Incarnation, {}),
        Claims(Store, Settings.Vm, Incarnation),
        Ratings(Transport, Settings.RatingService, Settings.RatingsPerSecond,
                Router, Metrics),
        List(Transport, Settings.VmList, Settings.Vm), Services{Settings,
                                                                Clock,
                                                                Log,
                                                                Metrics,
                                                                Transport,
                                                                Holder,
                                                                Freshness,
                                                                Members,
                                                                Router,
                                                                Gate,
                                                                Decisions,
                                                                Bills,
                                                                Claims,
                                                                Bodies,
                                                                Store,
                                                                Ratings,
                                                                [this] {
                                                                  spreadNews();
                                                                }},
        Follower(Services), Automation(Services), Poller(Services, List),
        Callers(Services) {}

  ~running_entry_node() override {
    // Tasks first, then the listeners and the network they use.
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
    Custody.attach(*Network);
    Heartbeats = std::make_unique<heartbeat_service>(Services, *Network, Held,
                                                     Incarnation);
    IsReceiving = true;
    Operators = std::make_unique<operator_api>(Services, Store, Callers,
                                               *Network, Held);
    http_server_limits OperatorLimits;
    OperatorLimits.Connections = OperatorConnections;
    OperatorLimits.Workers = OperatorWorkers;
    OperatorLimits.BodyBytes = OperatorBodyLimit;
    TRY(OperatorServer,
        http_server::listen(Settings.OperatorListen, OperatorLimits,
                            [this](const served_request &Request) {
                              return Operators->serve(Request);
                            }));
    http_server_limits CallerLimits;
    CallerLimits.Connections = Settings.MaximumStreams + SpareConnections;
    CallerLimits.Workers = Settings.MaximumStreams + SpareWorkers;
    CallerLimits.BodyBytes = Settings.BodyLimitBytes;
    TRY(CallerServer,
        http_server::listen(Settings.Listen, CallerLimits,
                            [this](const served_request &Request) {
                              return Callers.serve(Request);
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
    spreadNews();
    std::this_thread::sleep_for(Settings.DiscoveryKeep + DiscoverySlack);
    CallerServer->stop();
    while (Callers.requestsInFlight() > 0)
      std::this_thread::sleep_for(DrainPollInterval);
    handOverBills();
    Log.write(log_level::Info, "drain_finished", {});
  }

private:
  void startTasks() {
    HeartbeatTask = std::make_unique<periodic_task>(
        HeartbeatInterval, [this] { Heartbeats->beat(); });
    addTask(ListInterval, [this] {
      if (Poller.refreshList())
        Network->setPeers(Members.peerAddresses());
    });
    addTask(StorePollInterval, [this] { Follower.poll(); });
    addTask(ReportInterval, [this] {
      Poller.refreshReports();
      considerServing();
    });
    addTask(AutomationInterval, [this] { Automation.run(); });
    addTask(GateInterval, [this] { Gate.advance(Clock.now()); });
    addTask(BillRetryInterval,
            [this] { Bills.retryFailedSegments(Clock.now()); });
    addTask(OrphanInterval, [this] {
      Claims.retryPendingWrites();
      adoptBills([this](const bill_origin &Origin) {
        return Members.hasLeftOrFailed(Origin.Vm, Clock.now()) ||
               Members.hasRestarted(Origin.Vm, Origin.Incarnation);
      });
    });
    Flusher = std::thread([this] {
      while (IsFlushing) {
        Bills.waitForQueuedBills(FlushWait);
        Bills.flush(Clock.now());
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
  }

  void addTask(milliseconds Interval, std::function<void()> Task) {
    Tasks.push_back(std::make_unique<periodic_task>(Interval, std::move(Task)));
  }

  /// Callers come once this VM has its configuration and knows the endpoints.
  void considerServing() {
    if (Members.ownState() != member_state::Starting || !Poller.hasReports() ||
        !Services.currentConfiguration())
      return;
    Members.advanceOwnState(member_state::Serving);
    spreadNews();
    Log.write(log_level::Info, "entry_serving", {});
  }

  void spreadNews() {
    if (HeartbeatTask)
      HeartbeatTask->wake();
  }

  void receive(const peer_frame &Frame) {
    // Frames that arrive while the process is being put together are lost, as
    // any frame may be.
    if (IsReceiving)
      Heartbeats->receive(Frame);
  }

  /// Takes over the bills of origins that are gone.
  void adoptBills(const std::function<bool(const bill_origin &)> &IsGone) {
    for (const auto &Text : Held.takeOrphanedBills(IsGone)) {
      auto Bill = decodeBill(Text);
      if (isError(Bill) || isError(Bills.add(valueOf(Bill))))
        Log.write(log_level::Error, "bill_not_adopted", {{"bill", Text}});
      else
        Metrics.increment("azurehaven_bills_adopted_total");
    }
  }

  void handOverBills() {
    adoptBills([](const bill_origin &) { return true; });
    const steady_time GiveUpAt = Clock.now() + LastFlushLimit;
    while (!Bills.isSafeToStop() && Clock.now() < GiveUpAt)
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
  admission_gate Gate;
  decision_log Decisions;
  peer_custody Custody;
  custody_table Held;
  bill_committer Bills;
  claim_registry Claims;
  request_id_registry Bodies;
  rating_sender Ratings;
  http_vm_list List;
  entry_services Services;
  store_follower Follower;
  automation Automation;
  endpoint_poller Poller;
  caller_api Callers;
  std::atomic<bool> IsReceiving = false;
  std::atomic<bool> IsFlushing = true;
  std::unique_ptr<heartbeat_service> Heartbeats;
  std::unique_ptr<operator_api> Operators;
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
