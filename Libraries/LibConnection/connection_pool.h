#pragma once

#include "LibConnection/endpoint_connection.h"

#include <deque>
#include <functional>
#include <map>

namespace azurehaven {

/// Which idle connections a request may reuse. The endpoint may close an idle
/// connection just as it is reused.
enum class connection_reuse {
  /// Any idle connection: for requests that may be retried if the
  /// connection fails.
  AnyIdle,
  /// Only a connection that was used a moment ago, else a new one: for requests
  /// that may run only once.
  RecentlyUsed,
};

/// Keeps idle connections to endpoints for the next exchange. Lives on one
/// event loop; not thread-safe.
class connection_pool {
public:
  connection_pool(asio::any_io_executor Executor, connection_timeouts Timeouts);

  /// Returns an idle connection, or a new one that connects on its first use.
  std::shared_ptr<endpoint_connection> acquire(const network_address &Address,
                                               connection_reuse Reuse,
                                               steady_time Now);
  /// Returns a connection to the pool after its exchange. IdleLimit is how long
  /// it may be reused; it should be below the idle timeout of the endpoint.
  void release(std::shared_ptr<endpoint_connection> Connection,
               milliseconds IdleLimit, steady_time Now);
  /// Closes the connections whose idle limit has passed.
  void closeExpired(steady_time Now);
  /// Closes the idle connections to an endpoint that was removed.
  void closeIdleConnections(const network_address &Address);

  std::uint64_t openedCount() const { return Opened; }
  std::size_t idleCount() const;

private:
  struct idle_connection {
    std::shared_ptr<endpoint_connection> Connection;
    steady_time IdleSince;
    steady_time ExpiresAt;
  };

  asio::any_io_executor Executor;
  connection_timeouts Timeouts;
  std::map<network_address, std::deque<idle_connection>> Idle;
  std::uint64_t Opened = 0;
};

} // namespace azurehaven
