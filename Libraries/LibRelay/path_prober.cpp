#include "LibRelay/path_prober.h"

#include "LibRelay/path_watch.h"
#include "LibSocket/socket_options.h"

#include <asio/steady_timer.hpp>

namespace azurehaven {

namespace {

constexpr milliseconds ProbeInterval{250};
constexpr milliseconds ProbeTimeout{400};

/// A connection that is closed as soon as it is made or has timed out.
struct probe_connection {
  explicit probe_connection(const asio::any_io_executor &Executor)
      : Socket(Executor), Timer(Executor) {}
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
};

} // namespace

void path_prober::advance(steady_time Now) {
  reviewPaths(Context, Now);
  const auto Lost = Context.Fleet.Paths.lostServices();
  std::erase_if(Probes, [&](const auto &Entry) {
    return !Entry.second.IsRunning && !Context.Fleet.Paths.isLost(Entry.first);
  });
  for (const service_id &Service : Lost) {
    probe_state &Probe = Probes[Service];
    const endpoint_list &Endpoints =
        Context.Fleet.Endpoints.endpointsOf(Service);
    if (Probe.IsRunning || Now < Probe.DueAt || Endpoints.empty())
      continue;
    Probe.IsRunning = true;
    Probe.DueAt = Now + ProbeInterval;
    probe(Service,
          Endpoints[Probe.NextEndpoint++ % Endpoints.size()]->Descriptor);
  }
}

void path_prober::probe(const service_id &Service,
                        const endpoint_descriptor &Endpoint) {
  auto Connection = std::make_shared<probe_connection>(Context.Executor);
  Connection->Timer.expires_after(ProbeTimeout);
  Connection->Timer.async_wait([Connection](const asio::error_code &Code) {
    asio::error_code Ignored;
    if (!Code)
      Connection->Socket.close(Ignored);
  });
  Connection->Socket.async_connect(
      socketAddress(Endpoint.Address),
      [this, Connection, Service,
       Id = Endpoint.Id](const asio::error_code &Code) {
        Connection->Timer.cancel();
        asio::error_code Ignored;
        Connection->Socket.close(Ignored);
        onResult(Service, Id, !Code);
      });
}

void path_prober::onResult(const service_id &Service,
                           const endpoint_id &Endpoint, bool IsReachable) {
  Probes[Service].IsRunning = false;
  recordProbe(Context, Service, Endpoint, IsReachable, Context.Clock.now());
}

} // namespace azurehaven
