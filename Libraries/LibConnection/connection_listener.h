#pragma once

#include "LibConnection/caller_connection.h"
#include "LibTypes/network_address.h"
#include "LibTypes/result.h"

#include <asio/io_context.hpp>

#include <list>
#include <memory>
#include <vector>

namespace azurehaven {

/// Accepts callers on one address and limits the number of open connections: at
/// the limit the oldest connection that serves no request is closed.
class connection_listener {
public:
  /// Returns Unavailable when the address can't be bound.
  static result<std::unique_ptr<connection_listener>>
  listen(asio::io_context &Loop, const network_address &Address,
         request_handler &Handler, std::size_t ConnectionLimit);

  ~connection_listener();

  /// Stops listening on the address; open connections stay open.
  void stopAccepting();
  /// Closes the connections on which no request is being read or served.
  void closeIdle();
  std::size_t connectionCount() const { return Connections.size(); }
  /// Connections that serve a request, have unsent response bytes or are
  /// closing gracefully.
  std::size_t busyCount() const;
  std::uint64_t acceptedCount() const { return Accepted; }

private:
  connection_listener(asio::io_context &Loop, request_handler &Handler,
                      std::size_t ConnectionLimit);
  void accept();
  void addConnection(asio::ip::tcp::socket Socket);
  void closeOldestWithoutRequest();

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  request_handler &Handler;
  const std::size_t ConnectionLimit;
  /// In the order of acceptance, oldest first.
  std::list<std::shared_ptr<caller_connection>> Connections;
  std::uint64_t Accepted = 0;
};

} // namespace azurehaven
