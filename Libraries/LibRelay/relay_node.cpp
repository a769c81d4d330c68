#include "LibRelay/relay_node.h"

#include <algorithm>
#include <csignal>

namespace azurehaven {

namespace {

constexpr connection_timing EndpointTiming{milliseconds(400),
                                           milliseconds(2500)};
/// How often due removals and expired connections are looked for.
constexpr milliseconds TickEvery{100};
/// How often VMs tell each other of their work.
constexpr milliseconds ExchangeEvery{200};
/// Descriptors kept for files, the store, peers and endpoints.
constexpr std::size_t OtherDescriptors = 400;
/// Callers that keep a directory answer three times as long as told still
/// connect for so long after a stop has begun.
constexpr milliseconds AcceptDuringStop{3500};
/// Kept back from the grace time, so that the process ends by itself.
constexpr milliseconds StopMargin{250};
/// The last requests get their answers so long before the end of the process.
constexpr milliseconds AnswersBeforeEnd{800};

std::size_t callerLimit(const relay_settings &Settings) {
  const std::size_t Limit = Settings.DescriptorLimit;
  return Limit > 2 * OtherDescriptors ? Limit - OtherDescriptors : Limit / 2;
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
                      rollout_controller(Settings.ExposureShare)},
      Connections(Loop.get_executor(), EndpointTiming),
      Context{Loop.get_executor(), Clock,   Codec,  Log, Metrics, Fleet,
              Connections,         nullptr, nullptr},
      Relay(Context), StateUpdater(Fleet, Clock, Log, Metrics),
      Scheduler(Loop.get_executor(), Clock), Signals(Loop, SIGTERM, SIGINT),
      Incarnation(static_cast<std::uint64_t>(Clock.wallNow().count())) {
  Fleet.StopGrace = Settings.StopGrace;
}

void relay_node::applySettings(const relay_settings &Changed) {
  Settings.StopGrace = Changed.StopGrace;
  Fleet.StopGrace = Changed.StopGrace;
  Fleet.Confirmation.setRevokeBound(Changed.RevokeBound);
  Fleet.Retries.setLimits(Changed.Retries);
  Fleet.Rollouts.setExposureShare(Changed.ExposureShare);
  Log.write(log_level::Info, "settings_applied",
            {{"stop_grace_ms", std::to_string(Changed.StopGrace.count())},
             {"revoke_bound_ms",
              Changed.RevokeBound ? std::to_string(Changed.RevokeBound->count())
                                  : "none"},
             {"retry_ratio", std::to_string(Changed.Retries.Ratio)},
             {"exposure_share", std::to_string(Changed.ExposureShare)}});
}

member_entry relay_node::selfEntry() const {
  return {Settings.Vm, Settings.Domain, Settings.CallerAddress,
          Settings.PeerAddress, Incarnation};
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
      static_cast<double>(Connections.opened()));
  Add("azurehaven_ready", isReady() ? 1 : 0);
  return Text;
}

status relay_node::start(member_registration &NewRegistration,
                         engine_inspector &Inspector,
                         rollout_publisher &Publisher, bill_journal &Bills) {
  Context.Bills = &Bills;
  Bills.start();
  Registration = &NewRegistration;
  Context.Inspector = &Inspector;
  // The network receives on a thread of its own; beliefs change on the loop.
  TRY(Peers,
      tcp_peer_network::listen(Settings.PeerAddress, Settings.Vm, Incarnation,
                               [this](const peer_frame &Frame) {
                                 asio::post(Loop, [this, Frame] {
                                   PeerSync->onFrame(Frame);
                                 });
                               }));
  PeerSync = std::make_unique<peer_state_sync>(Fleet, Clock, *Peers);
  Rollouts = std::make_unique<rollout_driver>(Fleet, Clock, Log, Publisher);
  TRY(Listener, connection_listener::listen(Loop, Settings.CallerAddress, Relay,
                                            callerLimit(Settings)));
  Registration->start();
  waitForSignal();
  tick();
  exchange();
  Log.write(log_level::Info, "started",
            {{"caller_address", Settings.CallerAddress.text()},
             {"failure_domain", Settings.Domain.text()}});
  return success{};
}

void relay_node::tick() {
  StateUpdater.advance();
  Connections.closeExpired(Clock.now());
  Rollouts->advance();
  if (Fleet.IsStopping)
    finishStop();
  Scheduler.runAfter(TickEvery, [this] { tick(); });
}

void relay_node::exchange() {
  PeerSync->expire();
  PeerSync->broadcast();
  Fleet.Pins.expire(Clock.now());
  Scheduler.runAfter(ExchangeEvery, [this] { exchange(); });
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

void relay_node::finishStop() {
  const auto Since = Clock.now() - Fleet.StoppingSince;
  if (Since < std::min(AcceptDuringStop, Settings.StopGrace / 2))
    return;
  Listener->closeIdle();
  Context.Bills->flush();
  const bool IsLast = Since > Settings.StopGrace - AnswersBeforeEnd;
  if (IsLast) {
    const auto Remaining = Context.ActiveRequests;
    for (active_request *Request : Remaining)
      Request->endForShutdown();
  }
  const bool IsOver = Since > Settings.StopGrace - StopMargin;
  const bool HasWork =
      Listener->busyCount() > 0 || Context.Bills->pendingBillCount() > 0;
  if (HasWork && !IsOver)
    return;
  Log.write(
      log_level::Info, "stopped",
      {{"active_requests", std::to_string(Context.ActiveRequests.size())}});
  Loop.stop();
}

} // namespace azurehaven
