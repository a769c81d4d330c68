#pragma once

#include "LibHttp/response_parser.h"
#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace azurehaven {

enum class head_verdict {
  /// The response belongs to the exchange.
  Accept,
  /// A late response to an earlier request; the expected one may follow.
  SkipResponse,
  /// Not a usable response; the exchange fails.
  Reject,
};

/// Receives the events of one exchange on the event loop. No call follows
/// onResponseEnd or onExchangeFailed.
class exchange_observer {
public:
  virtual ~exchange_observer() = default;
  /// The last byte of the request was handed to the operating system.
  virtual void onRequestSent() {}
  virtual head_verdict onResponseHead(const response_head &Head) = 0;
  virtual void onResponseBody(std::string Bytes) = 0;
  virtual void onResponseEnd() = 0;
  virtual void onExchangeFailed(const http_failure &Failure) = 0;
};

/// The bytes of one request.
struct outgoing_request {
  std::string Head;
  /// Shared between the attempts of one request.
  std::shared_ptr<const std::string> Body;
  /// Responses to HEAD have no body, whatever their header fields say.
  bool IsHead = false;
};

struct connection_timeouts {
  /// Longest wait for a connection to be established.
  milliseconds Connect{500};
  /// Longest time that sent bytes may stay unacknowledged.
  milliseconds UnacknowledgedData{3000};
  /// Time without bytes after which the connection is probed; nullopt for
  /// connections that never wait long for the first byte of a response.
  std::optional<std::chrono::seconds> KeepAliveIdle{};
};

/// One TCP connection to an endpoint, which carries one exchange at a time.
/// Lives on one event loop; not thread-safe.
class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
public:
  endpoint_connection(asio::any_io_executor Executor, network_address Address,
                      connection_timeouts Timeouts, steady_time CreatedAt = {});

  const network_address &address() const { return Address; }
  /// When it was created; it is established later.
  steady_time createdAt() const { return CreatedAt; }
  asio::any_io_executor executor() { return Socket.get_executor(); }
  /// Connects if needed and sends the request.
  void start(outgoing_request Request,
             std::shared_ptr<exchange_observer> NewObserver);
  /// Drops the exchange and closes the connection without notifying the
  /// observer.
  void abort();
  /// Pauses and resumes reading the response, as backpressure for slow callers.
  void pauseReading();
  void resumeReading();

  bool isUnconnected() const { return State == state::Unconnected; }
  /// Whether nothing can have reached the endpoint over it yet.
  bool isConnecting() const {
    return State == state::Unconnected || State == state::Connecting;
  }
  /// Whether it is connected and carries no exchange.
  bool isIdle() const { return State == state::Idle; }
  bool isClosed() const { return State == state::Closed; }
  /// Bytes that the operating system has received and this process has not
  /// read.
  std::size_t unreadBytes() const;
  /// Sets the function to call when the connection becomes idle or closed.
  void setReleaseHandler(std::function<void()> Handler) {
    ReleaseHandler = std::move(Handler);
  }

private:
  enum class state { Unconnected, Connecting, Busy, Idle, Closed };

  void resetParser();
  void connect();
  void send();
  void read();
  void onBytesRead(std::size_t Size);
  void onEndOfInput();
  void endInput();
  void onConnectionLost(const std::string &Reason, connection_loss Loss);
  /// Passes what was parsed to the observer. Rest holds the bytes that follow.
  /// Returns whether to parse them.
  bool deliver(std::string_view Rest);
  void finishExchange();
  void fail(delivery Delivery, const std::string &Message,
            connection_loss Loss = connection_loss::Ended);
  void close();
  void release();

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  network_address Address;
  connection_timeouts Timeouts;
  const steady_time CreatedAt;
  state State = state::Unconnected;
  outgoing_request Request;
  std::shared_ptr<exchange_observer> Observer;
  std::function<void()> ReleaseHandler;
  response_parser Parser;
  std::array<char, 8192> Buffer;
  bool HeadDelivered = false;
  bool SkippingResponse = false;
  std::size_t SkippedBytes = 0;
  bool IsWritePending = false;
  bool HasWriteFailed = false;
  bool IsReadPending = false;
  bool Paused = false;
};

} // namespace azurehaven
