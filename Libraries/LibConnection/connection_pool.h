#pragma once

#include "LibConnection/endpoint_connection.h"

#include <deque>
#include <functional>
#include <map>

namespace azurehaven {

/// How much a pooled connection may be trusted to be still open.
enum class connection_reuse {
  /// Any idle one: a request that may be repeated is sent again if it fails.
  AnyIdle,
  /// Only one that was used a moment ago, else a new one: for requests that
  /// may run once.
  RecentlyUsed,
};

/// Keeps idle connections to endpoints for the next exchange. Lives on one
/// event loop; not thread-safe.
class connection_pool {
public:
  connection_pool(asio::any_io_executor Executor, connection_timeouts Timing);

  std::shared_ptr<endpoint_connection> acquire(const network_address &Address,
                                               connection_reuse Trust,
                                               steady_time Now);
  /// Gives a connection back after its exchange. IdleLimit is what the
  /// endpoint said of how long it keeps idle connections.
  void release(std::shared_ptr<endpoint_connection> Connection,
               milliseconds IdleLimit, steady_time Now);
  /// Closes what has been idle for too long.
  void closeExpired(steady_time Now);
  /// Forgets connections to an endpoint that is gone.
  void closeIdleConnections(const network_address &Address);

  std::uint64_t openedCount() const { return Opened; }
  std::size_t idleCount() const;

private:
  struct idle_connection {
    std::shared_ptr<endpoint_connection> Connection;
    steady_time Since;
    steady_time Until;
  };

  asio::any_io_executor Executor;
  connection_timeouts Timing;
  std::map<network_address, std::deque<idle_connection>> Idle;
  std::uint64_t Opened = 0;
};

} // namespace azurehaven
