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
  Acceptor.async_accept(
      [this](const asio::error_code &Code, asio::ip::tcp::socket Socket) {
        if (Code == asio::error::operation_aborted)
          return;
        if (!Code) {
          addConnection(std::move(Socket));
          return accept();
        }
        closeOldestWithoutRequest();
        RetryTimer.expires_after(AcceptRetryDelay);
        RetryTimer.async_wait([this](const asio::error_code &TimerCode) {
          if (!TimerCode)
            accept();
        });
      });
}

void connection_listener::addConnection(asio::ip::tcp::socket Socket) {
  ++Accepted;
  if (Connections.size() >= ConnectionLimit)
    closeOldestWithoutRequest();
  auto Connection =
      std::make_shared<caller_connection>(std::move(Socket), Handler);
  auto Position = Connections.insert(Connections.end(), Connection);
  Connection->setClosedHandler(
      [this, Position] { Connections.erase(Position); });
  Connection->start();
}

void connection_listener::closeOldestWithoutRequest() {
  auto Found =
      std::find_if(Connections.begin(), Connections.end(),
                   [](const auto &Entry) { return !Entry->hasRequest(); });
  if (Found == Connections.end())
    return;
  // Closing erases the list entry; this copy keeps the connection alive until
  // abort() returns.
  auto Oldest = *Found;
  Oldest->abort(close_reason::ConnectionLimit);
}

void connection_listener::stopAccepting() {
  asio::error_code Ignored;
  Acceptor.close(Ignored);
  RetryTimer.cancel();
}

void connection_listener::closeIdle() {
  const std::vector<std::shared_ptr<caller_connection>> All(Connections.begin(),
                                                            Connections.end());
  for (const auto &Connection : All)
    Connection->closeIfIdle();
}

std::size_t connection_listener::busyCount() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Entry) { return Entry->isBusy(); }));
}

} // namespace azurehaven
