#pragma once

#include "LibConnection/caller_connection.h"
#include "LibServer/http_server.h"

#include <asio/io_context.hpp>

#include <condition_variable>
#include <mutex>

namespace azurehaven {

/// One request whose handler blocks: the handler and its body source run on a
/// worker thread, the connection stays on the event loop.
class served_exchange : public caller_observer,
                        public std::enable_shared_from_this<served_exchange> {
public:
  served_exchange(asio::io_context &Loop,
                  std::shared_ptr<caller_connection> Caller);

  /// Runs the handler and returns once its whole response is posted to the
  /// event loop. Blocks; called on a worker thread.
  void respond(const http_handler &Handler, const served_request &Request);

  void onCallerDisconnected() override;
  void onSendBufferDrained() override;

private:
  using connection_action = std::function<void(caller_connection &)>;

  void streamBody(body_source &Source, int Status, const http_headers &Headers);
  /// Runs an action on the event loop, which owns the connection.
  void post(connection_action Action);
  void sendChunk(std::string Chunk);
  /// Blocks while too many body bytes are unsent; returns whether the caller is
  /// still connected.
  bool waitForSendSpace();

  asio::io_context &Loop;
  const std::shared_ptr<caller_connection> Caller;

  std::mutex Mutex;
  std::condition_variable StateChanged;
  /// Bytes posted to the event loop since the send buffer was last drained.
  std::size_t UnsentBytes = 0;
  bool IsCallerDisconnected = false;
};

} // namespace azurehaven
