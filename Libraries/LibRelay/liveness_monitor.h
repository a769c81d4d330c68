#pragma once

#include "LibRelay/relay.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace azurehaven {

/// Detects that an endpoint has stopped processing one repeatable request. An
/// engine that sends nothing is inspected; a busy one reports that it still
/// processes the request. An engine that does not respond, or whose connection
/// delivers nothing while the request advances or has ended, is unresponsive.
class liveness_monitor : public std::enable_shared_from_this<liveness_monitor> {
public:
  using unresponsive_handler = std::function<void(const std::string &Reason)>;

  /// PlainIdleTimeout: longest time without progress of an endpoint that is not
  /// an engine; nullopt for an engine.
  liveness_monitor(relay_context &Context,
                   std::shared_ptr<endpoint_record> Endpoint, request_id Id,
                   std::optional<milliseconds> PlainIdleTimeout,
                   unresponsive_handler Handler);

  void start();
  void stop();
  /// Call when the response gets closer to its end, for example by an event.
  /// Bytes alone are no progress: a stalled endpoint may still send some.
  void onProgress(steady_time Now);

private:
  void scheduleCheck();
  void check();
  /// Whether this check has to be put off because this process stood still.
  bool postponeAfterStall(steady_time Now);
  /// Whether the path to the service is lost, and nothing has come from the
  /// endpoint since.
  bool isCutOff() const;
  void evaluateReport(steady_time Now);
  void evaluateFailedInspection();
  void reportUnresponsive(const std::string &Reason);

  relay_context &Context;
  const std::shared_ptr<endpoint_record> Endpoint;
  const request_id Id;
  const std::optional<milliseconds> PlainIdleTimeout;
  unresponsive_handler Handler;
  asio::steady_timer Timer;
  steady_time LastProgressAt;
  /// Event count of this request in the latest report made since the last
  /// progress; nullopt if there is none or the request was not running.
  std::optional<std::uint64_t> ReportedEvents;
  steady_time EvaluatedReportAt;
  steady_time CheckDueAt;
  bool IsPostponed = false;
};

} // namespace azurehaven
