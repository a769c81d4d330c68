#pragma once

#include "LibConnection/caller_connection.h"
#include "LibConnection/connection_pool.h"
#include "LibLog/event_log.h"
#include "LibMetrics/metrics.h"
#include "LibRelay/bill_journal.h"
#include "LibRelay/engine_inspector.h"
#include "LibRelay/fleet_state.h"
#include "LibRelay/forwarding_peers.h"
#include "LibRelay/relay_memory.h"
#include "LibRelay/wire_codec.h"
#include "LibTypes/clock_source.h"

#include <set>

namespace azurehaven {

/// A request whose response is not complete yet.
class active_request {
public:
  virtual ~active_request() = default;
  /// Ends the request with a final response because the process is about to
  /// exit.
  virtual void endForShutdown() = 0;
  /// Counts the running attempt as slow in the statistics of its release if
  /// that is certain before it ends.
  virtual void recordIfSlow(steady_time Now) = 0;
  /// Keeps the session on the release of the running attempt.
  virtual void refreshSessionPin(steady_time Now) = 0;
};

/// Dependencies and state shared by the requests of one event loop.
struct relay_context {
  asio::any_io_executor Executor;
  const clock_source &Clock;
  const wire_codec &Codec;
  const event_log &Log;
  metrics &Metrics;
  fleet_state &Fleet;
  connection_pool &Connections;
  engine_inspector *Inspector = nullptr;
  bill_journal *Bills = nullptr;
  std::set<active_request *> ActiveRequests{};
  relay_memory Memory{};
  forwarding_peers ForwardingPeers{};
};

/// Who sends the requests of a listener.
enum class request_source {
  Caller,
  /// Another VM, which forwards requests of its callers.
  Vm,
};

/// Sends nothing more to the endpoint's process start, which has said that it
/// is leaving. The next notices tell the other VMs.
void markEndpointLeaving(relay_context &Context,
                         const endpoint_record &Endpoint, steady_time Now);

/// Accepts requests from callers: checks API key, route and configuration, and
/// starts a relayed_request for each admitted one.
class relay : public request_handler {
public:
  explicit relay(relay_context &Context,
                 request_source Source = request_source::Caller)
      : Context(Context), Source(Source) {}

  void onRequest(incoming_request Request,
                 std::shared_ptr<caller_connection> Caller) override;
  rejection_body onInvalidRequest(request_parse_error Fault) override;
  caller_limits limits() const override;
  bool sendsConnectionClose() const override;
  steady_time now() const override { return Context.Clock.now(); }
  memory_budget *memory() override { return &Context.Memory.ofCallers(); }
  void onConnectionClosed(const closed_connection &Closed) override;

private:
  void refuse(const dispatch_request &Request, caller_connection &Caller,
              int Status, std::optional<milliseconds> RetryAfter,
              const char *Reason);

  relay_context &Context;
  const request_source Source;
};

} // namespace azurehaven
