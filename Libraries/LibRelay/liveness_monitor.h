#pragma once

#include "LibRelay/relay.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace azurehaven {

/// Watches whether an endpoint still works on one request that may be
/// repeated. An engine that is merely busy says so when it is asked; one that
/// is dark, or whose connection has gone silent, is given up.
class liveness_monitor : public std::enable_shared_from_this<liveness_monitor> {
public:
  using unresponsive_handler = std::function<void(const std::string &Reason)>;

  liveness_monitor(relay_context &Context,
                   std::shared_ptr<endpoint_record> Endpoint, request_id Id,
                   bool IsEngine, unresponsive_handler Handler);

  void start();
  void stop();
  /// Bytes of this request's answer have come.
  void onBytesReceived(steady_time Now);

private:
  void waitAgain();
  void check();
  void ask();
  void judgeReport(steady_time Now);
  void judgeFailedInspection();
  void giveUp(const std::string &Reason);

  relay_context &Context;
  const std::shared_ptr<endpoint_record> Endpoint;
  const request_id Id;
  const bool IsEngine;
  unresponsive_handler Handler;
  asio::steady_timer Timer;
  steady_time LastHeard;
  /// Events of this request in the last report since the last byte.
  std::optional<std::uint64_t> ReportedEvents;
  steady_time JudgedReport;
};

} // namespace azurehaven
