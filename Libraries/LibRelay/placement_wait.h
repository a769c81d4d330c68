#pragma once

#include "LibDispatch/endpoint_registry.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace azurehaven {

/// Lets a request wait for a moment while brittle endpoints have not responded
/// to the VM's earlier requests, which takes them far less time than the caller
/// would take to come back. Bounded for each request.
class placement_wait {
public:
  explicit placement_wait(const asio::any_io_executor &Executor)
      : Timer(Executor) {}

  /// Whether one of the endpoints will soon take a request, and the request has
  /// not waited too long yet.
  bool isWorthwhile(const endpoint_list &Endpoints, steady_time Now) const;
  /// Calls the handler after a short time, unless cancelled.
  void start(steady_time Now, std::function<void()> Handler);
  void cancel();

private:
  asio::steady_timer Timer;
  /// Expires before a handler that was queued before its cancellation runs.
  std::shared_ptr<const bool> Running;
  std::optional<steady_time> WaitingSince;
};

} // namespace azurehaven
