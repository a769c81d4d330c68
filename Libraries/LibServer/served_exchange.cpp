#include "LibServer/served_exchange.h"

#include <asio/post.hpp>

namespace azurehaven {

namespace {

/// Unsent body bytes at which the worker waits for a slow caller.
constexpr std::size_t UnsentLimitBytes = 256 * 1024;

} // namespace

served_exchange::served_exchange(asio::io_context &Loop,
                                 std::shared_ptr<caller_connection> Caller)
    : Loop(Loop), Caller(std::move(Caller)) {}

void served_exchange::post(connection_action Action) {
  asio::post(Loop, [Self = shared_from_this(), Action = std::move(Action)] {
    Action(*Self->Caller);
  });
}

void served_exchange::respond(const http_handler &Handler,
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
  while (waitForSendSpace()) {
    auto Chunk = Source.next();
    if (Chunk) {
      sendChunk(std::move(*Chunk));
      continue;
    }
    const bool IsComplete = Source.isComplete();
    post([IsComplete](caller_connection &Connection) {
      if (IsComplete)
        Connection.finishResponse();
      else
        Connection.truncateResponse();
    });
    return;
  }
}

void served_exchange::sendChunk(std::string Chunk) {
  {
    std::lock_guard Lock(Mutex);
    UnsentBytes += Chunk.size();
  }
  post([Chunk = std::move(Chunk)](caller_connection &Connection) {
    Connection.sendChunk(Chunk);
  });
}

bool served_exchange::waitForSendSpace() {
  std::unique_lock Lock(Mutex);
  StateChanged.wait(Lock, [this] {
    return IsCallerDisconnected || UnsentBytes < UnsentLimitBytes;
  });
  return !IsCallerDisconnected;
}

void served_exchange::onCallerDisconnected() {
  std::lock_guard Lock(Mutex);
  IsCallerDisconnected = true;
  StateChanged.notify_all();
}

void served_exchange::onSendBufferDrained() {
  std::lock_guard Lock(Mutex);
  UnsentBytes = 0;
  StateChanged.notify_all();
}

} // namespace azurehaven
