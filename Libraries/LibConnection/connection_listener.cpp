#include "LibConnection/connection_listener.h"

#include "LibSocket/socket_options.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Connections that the operating system holds until they are accepted.
constexpr int Backlog = 1024;
/// Delay before accepting again after accept failed, for example because no
/// file descriptor was free.
constexpr milliseconds AcceptRetryDelay{20};

} // namespace

connection_listener::connection_listener(asio::io_context &Loop,
                                         request_handler &Handler,
                                         std::size_t ConnectionLimit)
    : Acceptor(Loop), RetryTimer(Loop), Handler(Handler),
      ConnectionLimit(ConnectionLimit) {}

result<std::unique_ptr<connection_listener>> connection_listener::listen(
    asio::io_context &Loop, const network_address &Address,
    request_handler &Handler, std::size_t ConnectionLimit) {
  std::unique_ptr<connection_listener> Listener(
      new connection_listener(Loop, Handler, ConnectionLimit));
  asio::error_code Code;
  const auto Endpoint = socketAddress(Address);
  Listener->Acceptor.open(Endpoint.protocol(), Code);
  if (!Code)
    Listener->Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Listener->Acceptor.bind(Endpoint, Code);
  if (!Code)
    Listener->Acceptor.listen(Backlog, Code);
  if (Code)
    return error{error_code::Unavailable,
                 "can't listen on " + Address.text() + ": " + Code.message()};
  Listener->accept();
  return Listener;
}

connection_listener::~connection_listener() {
  for (const auto &Connection : Connections) {
    Connection->setClosedHandler(nullptr);
    Connection->abort(close_reason::Stop);
  }
}

void connection_listener::accept() {
  // A completion or a timer that was queued before the end of listening.
  if (!Acceptor.is_open())
    return;
  Acceptor.async_accept(
      [this, Lifetime = std::weak_ptr(Lifetime)](const asio::error_code &Code,
                                                 asio::ip::tcp::socket Socket) {
        if (Code == asio::error::operation_aborted || Lifetime.expired())
          return;
        if (!Code) {
          addConnection(std::move(Socket));
          return accept();
        }
        closeLeastUsed();
        RetryTimer.expires_after(AcceptRetryDelay);
        RetryTimer.async_wait([this, Lifetime](const asio::error_code &Code) {
          if (!Code && !Lifetime.expired())
            accept();
        });
      });
}

void connection_listener::addConnection(asio::ip::tcp::socket Socket) {
  ++Accepted;
  if (!makeRoom())
    return refuse(std::move(Socket));
  auto Connection =
      std::make_shared<caller_connection>(std::move(Socket), Handler);
  auto Position = Connections.insert(Connections.end(), Connection);
  Connection->setClosedHandler(
      [this, Position] { Connections.erase(Position); });
  Connection->start();
}

bool connection_listener::makeRoom() {
  return Connections.size() < ConnectionLimit || closeLeastUsed();
}

// Each connection that is passed over has left the state it was found in, so
// that the loop ends.
bool connection_listener::closeLeastUsed() {
  if (const auto Resting = findLongestResting()) {
    Resting->closeIfAtRest(close_reason::ConnectionLimit);
    return true;
  }
  if (const auto Lingering = findOldest(&caller_connection::isLingering)) {
    Lingering->stopLingering();
    return true;
  }
  while (const auto Incomplete =
             findOldest(&caller_connection::hasIncompleteRequest))
    if (Incomplete->refuseIncompleteRequest())
      return true;
  return false;
}

std::shared_ptr<caller_connection>
connection_listener::findLongestResting() const {
  std::shared_ptr<caller_connection> Longest;
  for (const auto &Connection : Connections) {
    // Asking the operating system for unread bytes comes last.
    const bool IsLonger =
        !Longest || Connection->restingSince() < Longest->restingSince();
    if (IsLonger && Connection->isAtRest())
      Longest = Connection;
  }
  return Longest;
}

std::shared_ptr<caller_connection>
connection_listener::findOldest(bool (caller_connection::*Predicate)()
                                    const) const {
  const auto Found = std::find_if(
      Connections.begin(), Connections.end(),
      [Predicate](const auto &Entry) { return (*Entry.*Predicate)(); });
  return Found == Connections.end() ? nullptr : *Found;
}

void connection_listener::refuse(asio::ip::tcp::socket Socket) {
  closed_connection Closed;
  Closed.Reason = close_reason::ConnectionLimit;
  asio::error_code Ignored;
  Closed.UnreadBytes = Socket.available(Ignored);
  resetConnection(Socket);
  Handler.onConnectionClosed(Closed);
}

void connection_listener::stopAccepting() {
  asio::error_code Code;
  Acceptor.non_blocking(true, Code);
  while (!Code) {
    auto Socket = Acceptor.accept(Code);
    if (!Code)
      addConnection(std::move(Socket));
  }
  asio::error_code Ignored;
  Acceptor.close(Ignored);
  RetryTimer.cancel();
}

std::vector<std::shared_ptr<caller_connection>>
connection_listener::connections() const {
  return {Connections.begin(), Connections.end()};
}

// Both go through a copy, since a connection that closes leaves the list.
void connection_listener::closeIdle() {
  for (const auto &Connection : connections())
    Connection->closeIfAtRest(close_reason::Stop);
}

void connection_listener::refuseIncompleteRequests() {
  for (const auto &Connection : connections())
    Connection->refuseIncompleteRequest();
}

std::size_t connection_listener::busyCount() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Entry) { return Entry->isBusy(); }));
}

} // namespace azurehaven
