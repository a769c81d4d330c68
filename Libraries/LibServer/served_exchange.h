#pragma once

#include "LibConnection/caller_connection.h"
#include "LibServer/http_server.h"

#include <asio/io_context.hpp>

#include <condition_variable>
#include <mutex>

namespace azurehaven {

/// One request whose handler blocks: the handler and its body run on a worker,
/// the connection stays on the event loop.
class served_exchange : public caller_observer,
                        public std::enable_shared_from_this<served_exchange> {
public:
  served_exchange(asio::io_context &Loop,
                  std::shared_ptr<caller_connection> Caller);

  /// On a worker: answers the request and returns when the loop has it all.
  void answer(const http_handler &Handler, const served_request &Request);

  void onCallerDisconnected() override;
  void onSendBufferDrained() override;

private:
  using connection_action = std::function<void(caller_connection &)>;

  void streamBody(body_source &Source, int Status, const http_headers &Headers);
  /// Runs an action on the event loop, which owns the connection.
  void post(connection_action Action);
  void sendChunk(std::string Piece);
  /// Waits until the caller has taken enough of the body; returns whether it is
  /// still there.
  bool awaitRoom();

  asio::io_context &Loop;
  const std::shared_ptr<caller_connection> Caller;

  std::mutex Mutex;
  std::condition_variable HasChanged;
  /// Bytes handed to the loop since the caller last took everything.
  std::size_t UnsentBytes = 0;
  bool IsCallerGone = false;
};

} // namespace azurehaven
