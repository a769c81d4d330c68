#pragma once

#include "LibConnection/caller_connection.h"
#include "LibTypes/network_address.h"
#include "LibTypes/result.h"

#include <asio/io_context.hpp>

#include <list>
#include <memory>
#include <vector>

namespace azurehaven {

/// Accepts callers on one address and limits the number of open connections. At
/// the limit the connection that rested longest is closed for a new one, else
/// the oldest with an incomplete request, which is answered 408; without either
/// the new connection is refused.
class connection_listener {
public:
  /// Returns Unavailable when the address can't be bound.
  static result<std::unique_ptr<connection_listener>>
  listen(asio::io_context &Loop, const network_address &Address,
         request_handler &Handler, std::size_t ConnectionLimit);

  /// Cuts the requests of busy connections, if any are left.
  ~connection_listener();

  /// Stops listening on the address. Open connections stay open, also those
  /// that only the operating system had accepted yet.
  void stopAccepting();
  /// Closes the connections at rest.
  void closeIdle();
  /// Answers requests that are still incomplete with 408.
  void refuseIncompleteRequests();
  std::size_t connectionCount() const { return Connections.size(); }
  /// Connections that are not at rest.
  std::size_t busyCount() const;
  std::uint64_t acceptedCount() const { return Accepted; }

private:
  connection_listener(asio::io_context &Loop, request_handler &Handler,
                      std::size_t ConnectionLimit);
  void accept();
  void addConnection(asio::ip::tcp::socket Socket);
  /// Closes a connection if the limit is reached; returns whether there is room
  /// for one more.
  bool makeRoom();
  /// Returns whether a connection was closed or is about to close.
  bool closeLeastUsed();
  std::shared_ptr<caller_connection> findLongestResting() const;
  std::shared_ptr<caller_connection>
  findOldest(bool (caller_connection::*Predicate)() const) const;
  void refuse(asio::ip::tcp::socket Socket);
  std::vector<std::shared_ptr<caller_connection>> connections() const;

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  request_handler &Handler;
  const std::size_t ConnectionLimit;
  /// In the order of acceptance, oldest first.
  std::list<std::shared_ptr<caller_connection>> Connections;
  std::uint64_t Accepted = 0;
  /// Expires before the handlers that are still queued run.
  const std::shared_ptr<const bool> Lifetime = std::make_shared<bool>(true);
};

} // namespace azurehaven
