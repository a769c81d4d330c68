#include "LibRelay/relay_node.h"

#include "LibRelay/crash_confirmation.h"
#include "LibRelay/endpoint_shares.h"
#include "LibRelay/stop_admission.h"

#include <algorithm>
#include <csignal>

namespace azurehaven {

namespace {

constexpr connection_timeouts EndpointTiming{milliseconds(400),
                                             milliseconds(2500)};
/// Interval at which due removals, expired connections, roll-outs and the
/// progress of a shutdown are checked.
constexpr milliseconds TickInterval{100};
/// A tick that is so late shows that the process stood still.
constexpr milliseconds StallTime{500};
/// Interval at which a VM sends its state to its peers.
constexpr milliseconds SyncInterval{200};
/// File descriptors reserved for files, the store, peers and endpoints.
constexpr std::size_t ReservedDescriptors = 400;
/// One in so many descriptors is for requests that other VMs forward.
constexpr std::size_t ForwardingDescriptorPart = 8;
/// For this long after a stop begins, the process does not exit or close idle
/// connections: a caller may cache a directory response for three times its
/// time to live.
constexpr milliseconds AcceptTimeDuringStop{3500};
/// The process exits this long before the grace time ends, so that the process
/// is not killed.
constexpr milliseconds ExitMargin{250};

std::size_t maxForwardingConnections(const relay_settings &Settings) {
  return Settings.DescriptorLimit / ForwardingDescriptorPart;
}

std::size_t maxCallerConnections(const relay_settings &Settings) {
  const std::size_t Limit = Settings.DescriptorLimit;
  const std::size_t Callers =
      Limit > 2 * ReservedDescriptors ? Limit - ReservedDescriptors : Limit / 2;
  return Callers - maxForwardingConnections(Settings);
}

} // namespace

relay_node::relay_node(asio::io_context &Loop, const relay_settings &Settings,
                       const clock_source &Clock, const wire_codec &Codec,
                       const event_log &Log, metrics &Metrics)
    : Loop(Loop), Settings(Settings), Clock(Clock),
      Log(Log), Fleet{Settings.Vm,
                      Settings.Domain,
                      nullptr,
                      {},
                      {},
                      configuration_confirmation(Settings.RevokeBound),
                      fleet_retry_budget(Settings.Retries),
                      session_pins(Settings.SessionGap),
                      rollout_controller(Settings.Exposure)},
      Connections(Loop.get_executor(), EndpointTiming),
      Context{Loop.get_executor(),
              Clock,
              Codec,
              Log,
              Metrics,
              Fleet,
              Connections,
              nullptr,
              nullptr,
              {},
              relay_memory(Settings.MemoryBytes)},
      Relay(Context), ForwardingRelay(Context, request_source::Vm),
      PathProber(Context), StateUpdater(Fleet, Clock, Log, Metrics),
      Scheduler(Loop.get_executor(), Clock), Signals(Loop, SIGTERM, SIGINT),
      Incarnation(static_cast<std::uint64_t>(Clock.wallNow().count())) {
  Fleet.StopGrace = Settings.StopGrace;
}

void relay_node::applySettings(const relay_settings &Changed) {
  Settings.StopGrace = Changed.StopGrace;
  Fleet.StopGrace = Changed.StopGrace;
  Fleet.Confirmation.setRevokeBound(Changed.RevokeBound);
  Fleet.Retries.setLimits(Changed.Retries);
  Fleet.Rollouts.setExposureLimits(Changed.Exposure);
  Log.write(log_level::Info, "settings_applied",
            {{"stop_grace_ms", std::to_string(Changed.StopGrace.count())},
             {"revoke_bound_ms",
              Changed.RevokeBound ? std::to_string(Changed.RevokeBound->count())
                                  : "none"},
             {"retry_ratio", std::to_string(Changed.Retries.Ratio)},
             {"exposure_share", std::to_string(Changed.Exposure.Share)},
             {"exposure_slack", std::to_string(Changed.Exposure.Slack)}});
}

member_entry relay_node::selfEntry() const {
  return {Settings.Vm,          Settings.Domain, Settings.CallerAddress,
          Settings.PeerAddress, Incarnation,     Settings.ForwardingAddress};
}

bool relay_node::isReady() const {
  return isReadyForCallers(Fleet, Clock.now());
}

directory_response relay_node::directory() const {
  return buildDirectoryResponse(Fleet, Settings.CallerAddress, Clock.now());
}

std::string relay_node::renderGauges() const {
  const auto Age = Fleet.Confirmation.age(Clock.now());
  std::string Text;
  const auto Add = [&](const char *Name, double Value) {
    Text += renderSample(Name, {}, Value);
  };
  Add("azurehaven_active_requests",
      static_cast<double>(Context.ActiveRequests.size()));
  if (Age)
    Add("azurehaven_configuration_age_ms", static_cast<double>(Age->count()));
  Add("azurehaven_configuration_version",
      Fleet.Routes ? static_cast<double>(Fleet.Routes->version()) : 0);
  Add("azurehaven_members", static_cast<double>(Fleet.Members.size()));
  Add("azurehaven_endpoints", static_cast<double>(Fleet.Endpoints.size()));
  Add("azurehaven_idle_endpoint_connections",
      static_cast<double>(Connections.idleCount()));
  Add("azurehaven_opened_endpoint_connections",
      static_cast<double>(Connections.openedCount()));
  Add("azurehaven_ready", isReady() ? 1 : 0);
  return Text;
}

status relay_node::start(store_mirror &NewMirror,
                         member_registration &NewRegistration,
                         store_records NewRecords, engine_inspector &Inspector,
                         rollout_publisher &Publisher, bill_journal &Bills) {
  Mirror = &NewMirror;
  Context.Bills = &Bills;
  Bills.start();
  Registration = &NewRegistration;
  Records.emplace(NewRecords);
  Context.Inspector = &Inspector;
  // Frames arrive on the network's own thread; the fleet state may change only
  // on the event loop.
  TRY(Peers,
      tcp_peer_network::listen(Settings.PeerAddress, Settings.Vm, Incarnation,
                               [this](const peer_frame &Frame) {
                                 asio::post(Loop, [this, Frame] {
                                   PeerSync->onFrame(Frame);
                                 });
                               }));
  PeerSync =
      std::make_unique<peer_state_sync>(Fleet, Clock, Log, *Peers, Incarnation);
  Rollouts =
      std::make_unique<rollout_driver>(Fleet, Clock, Log, Publisher, *PeerSync);
  TRY(Listener, connection_listener::listen(Loop, Settings.CallerAddress, Relay,
                                            maxCallerConnections(Settings)));
  if (Settings.ForwardingAddress.Port != 0) {
    TRY(ForwardingListener,
        connection_listener::listen(Loop, Settings.ForwardingAddress,
                                    ForwardingRelay,
                                    maxForwardingConnections(Settings)));
  }
  Registration->start();
  waitForSignal();
  runPeriodicTasks();
  syncPeers();
  Log.write(log_level::Info, "started",
            {{"caller_address", Settings.CallerAddress.text()},
             {"failure_domain", Settings.Domain.text()}});
  return success{};
}

void relay_node::updateConfirmationSource() {
  const bool AsksStore = Fleet.Members.isAmongPreferred(
      "confirmations", Fleet.Self, askingVmCount(Fleet.Members.size()));
  Mirror->setConfirmationSource(AsksStore ? confirmation_source::Store
                                          : confirmation_source::Peers);
  if (const auto At = Fleet.Confirmation.confirmedAt())
    Mirror->onConfirmationAge(*At);
}

void relay_node::runPeriodicTasks() {
  updateConfirmationSource();
  Registration->checkListed(Fleet.Members.find(Fleet.Self).has_value());
  StateUpdater.advance();
  updateStoreRecords();
  updateShares(Fleet, Clock.now());
  Fleet.Retries.observeVmCount(vmCount(Fleet), Clock.now());
  PathProber.advance(Clock.now());
  confirmCrashes(Context, registryState(), Clock.now());
  Connections.closeExpired(Clock.now());
  observeRunningRequests();
  Rollouts->advance();
  if (Fleet.IsStopping)
    advanceStop();
  Scheduler.runAfter(TickInterval, [this] { runPeriodicTasks(); });
}

registry_state relay_node::registryState() {
  const steady_time Now = Clock.now();
  const auto SinceLastTick = Now - std::exchange(LastTickAt, Now);
  return Mirror->isReachable() && SinceLastTick < StallTime
             ? registry_state::Current
             : registry_state::MayBeOutdated;
}

void relay_node::updateStoreRecords() {
  if (!Mirror->isReachable())
    return;
  Records->Crashes.advance(Clock.now(), Clock.wallNow());
  recordSettledEra();
}

void relay_node::recordSettledEra() {
  const steady_time Now = Clock.now();
  const bool IsWriter = !Fleet.IsStopping &&
                        Fleet.Members.isPreferredFor("era-record", Fleet.Self);
  if (IsWriter && StateUpdater.isStoreSettled(Now))
    Records->Era.advance(Now);
}

void relay_node::observeRunningRequests() {
  if (!Fleet.Rollouts.isAnyUndecided())
    return;
  const steady_time Now = Clock.now();
  for (active_request *Request : Context.ActiveRequests)
    Request->recordIfSlow(Now);
  for (active_request *Request : Context.ActiveRequests)
    Request->refreshSessionPin(Now);
}

void relay_node::syncPeers() {
  PeerSync->expire();
  PeerSync->broadcast();
  Fleet.Pins.expire(Clock.now());
  Scheduler.runAfter(SyncInterval, [this] { syncPeers(); });
}

void relay_node::waitForSignal() {
  Signals.async_wait([this](const asio::error_code &Code, int) {
    if (Code)
      return;
    if (!Fleet.IsStopping)
      beginStop();
    waitForSignal();
  });
}

void relay_node::beginStop() {
  Fleet.IsStopping = true;
  Fleet.StoppingSince = Clock.now();
  Registration->leave();
  Log.write(
      log_level::Info, "stop_begun",
      {{"active_requests", std::to_string(Context.ActiveRequests.size())}});
}

std::vector<connection_listener *> relay_node::listeners() const {
  if (!ForwardingListener)
    return {Listener.get()};
  return {Listener.get(), ForwardingListener.get()};
}

bool relay_node::hasWork() const {
  const auto IsBusy = [](const connection_listener *Each) {
    return Each->busyCount() > 0;
  };
  const auto All = listeners();
  return std::any_of(All.begin(), All.end(), IsBusy) ||
         Context.Bills->pendingBillCount() > 0 || Records->Crashes.hasUnsaved();
}

// Requests of connections that only the operating system has accepted yet count
// as work too.
void relay_node::stopAccepting() {
  IsAccepting = false;
  for (connection_listener *Each : listeners())
    Each->stopAccepting();
}

void relay_node::endRemainingRequests() {
  if (IsAccepting)
    stopAccepting();
  const auto Remaining = Context.ActiveRequests;
  for (active_request *Request : Remaining)
    Request->endForShutdown();
  for (connection_listener *Each : listeners())
    Each->refuseIncompleteRequests();
}

void relay_node::advanceStop() {
  const auto SinceStop = Clock.now() - Fleet.StoppingSince;
  if (SinceStop < std::min(AcceptTimeDuringStop, Settings.StopGrace / 2))
    return;
  for (connection_listener *Each : listeners())
    Each->closeIdle();
  Context.Bills->flush();
  if (timeUntilForcedEnd(Fleet, Clock.now()) <= milliseconds(0))
    endRemainingRequests();
  const bool IsGraceOver = SinceStop > Settings.StopGrace - ExitMargin;
  if (hasWork() && !IsGraceOver)
    return;
  // The requests of the last connections are answered before the next check.
  if (IsAccepting && !IsGraceOver)
    return stopAccepting();
  Log.write(
      log_level::Info, "stopped",
      {{"active_requests", std::to_string(Context.ActiveRequests.size())}});
  Loop.stop();
}

} // namespace azurehaven
