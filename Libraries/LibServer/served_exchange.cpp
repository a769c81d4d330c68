#include "LibServer/served_exchange.h"

#include <asio/post.hpp>

namespace azurehaven {

namespace {

/// Bytes of a body that may wait for a slow caller.
constexpr std::size_t UnsentLimit = 256 * 1024;

} // namespace

served_exchange::served_exchange(asio::io_context &Loop,
                                 std::shared_ptr<caller_connection> Caller)
    : Loop(Loop), Caller(std::move(Caller)) {}

void served_exchange::post(connection_action Action) {
  asio::post(Loop, [Self = shared_from_this(), Action = std::move(Action)] {
    Action(*Self->Caller);
  });
}

void served_exchange::answer(const http_handler &Handler,
                             const served_request &Request) {
  served_response Response = Handler(Request);
  http_headers Headers = std::move(Response.Headers);
  Headers.emplace_back("Content-Type", Response.ContentType);
  if (Response.Source)
    return streamBody(*Response.Source, Response.Status, Headers);
  post([Status = Response.Status, Headers = std::move(Headers),
        Body = std::move(Response.Body)](caller_connection &Connection) {
    Connection.sendResponse(Status, Headers, Body);
  });
}

void served_exchange::streamBody(body_source &Source, int Status,
                                 const http_headers &Headers) {
  post([Status, Headers](caller_connection &Connection) {
    Connection.startResponse(Status, Headers);
  });
  while (awaitRoom()) {
    auto Piece = Source.next();
    if (Piece) {
      sendChunk(std::move(*Piece));
      continue;
    }
    const bool IsWhole = Source.isComplete();
    post([IsWhole](caller_connection &Connection) {
      if (IsWhole)
        Connection.finishResponse();
      else
        Connection.truncateResponse();
    });
    return;
  }
}

void served_exchange::sendChunk(std::string Piece) {
  {
    std::lock_guard Lock(Mutex);
    UnsentBytes += Piece.size();
  }
  post([Piece = std::move(Piece)](caller_connection &Connection) {
    Connection.sendChunk(Piece);
  });
}

bool served_exchange::awaitRoom() {
  std::unique_lock Lock(Mutex);
  HasChanged.wait(Lock,
                  [this] { return IsCallerGone || UnsentBytes < UnsentLimit; });
  return !IsCallerGone;
}

void served_exchange::onCallerDisconnected() {
  std::lock_guard Lock(Mutex);
  IsCallerGone = true;
  HasChanged.notify_all();
}

void served_exchange::onSendBufferDrained() {
  std::lock_guard Lock(Mutex);
  UnsentBytes = 0;
  HasChanged.notify_all();
}

} // namespace azurehaven
