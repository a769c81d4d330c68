#pragma once

#include "LibConnection/closed_connection.h"
#include "LibConnection/receive_timeout.h"
#include "LibConnection/request_parser.h"
#include "LibTypes/memory_budget.h"
#include "LibTypes/units.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

class caller_connection;

/// A complete request as received from a caller.
struct incoming_request {
  request_head Head;
  std::string Body;
  /// What the head and the body take.
  memory_reservation Memory{};
};

/// Body of the response to an invalid request.
struct rejection_body {
  std::string ContentType;
  std::string Text;
  /// Further header fields.
  http_headers Headers{};
};

/// Handles the requests of a listener on its event loop.
class request_handler {
public:
  virtual ~request_handler() = default;
  virtual void onRequest(incoming_request Request,
                         std::shared_ptr<caller_connection> Caller) = 0;
  /// Returns the body of the response to a request that can't be parsed,
  /// exceeds a limit or does not come in time; the connection closes after the
  /// response.
  virtual rejection_body onInvalidRequest(request_parse_error ParseError) = 0;
  virtual caller_limits limits() const = 0;
  /// Whether responses carry Connection: close, after which the connection
  /// closes.
  virtual bool sendsConnectionClose() const = 0;
  virtual steady_time now() const = 0;
  /// What the connections may buffer together; null if only each has limits.
  virtual memory_budget *memory() { return nullptr; }
  /// Called once for each connection, after it has been closed.
  virtual void onConnectionClosed(const closed_connection &) {}
};

/// Receives events of a caller's connection while its request is being served.
class caller_observer {
public:
  virtual ~caller_observer() = default;
  /// The connection closed before the response was finished.
  virtual void onCallerDisconnected() = 0;
  /// All queued bytes were handed to the operating system.
  virtual void onSendBufferDrained() {}
};

/// One caller's connection: reads requests one at a time and sends the
/// responses in order. Lives on one event loop; not thread-safe.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  caller_connection(asio::ip::tcp::socket Socket, request_handler &Handler);

  void start();
  void setObserver(std::weak_ptr<caller_observer> NewObserver) {
    Observer = std::move(NewObserver);
  }

  /// Sends a complete response with its Content-Length.
  void sendResponse(int Status, const http_headers &Headers,
                    const std::string &Body);
  /// Sends the head of a response whose body follows in chunks.
  void startResponse(int Status, const http_headers &Headers);
  void sendChunk(const std::string &Bytes);
  void finishResponse();
  /// Closes the connection once the queued chunks are sent, without the last
  /// chunk (RFC 9112, section 7.1) that marks a complete body.
  void truncateResponse();
  /// Resets the connection, so that the caller can't take the response for a
  /// complete one. Does not notify the observer.
  void abort(close_reason Reason = close_reason::Aborted);

  /// Whether all responses are sent and no byte of a request is here, not even
  /// one that the operating system has received, so that closing loses nothing.
  bool isAtRest() const;
  /// When the last response was sent, or the connection was made.
  steady_time restingSince() const { return IdleSince; }
  /// Whether it is open and not at rest.
  bool isBusy() const { return State != state::Closed && !isAtRest(); }
  /// Whether a part of a request has been read.
  bool hasIncompleteRequest() const {
    return State == state::Reading && Parser.hasStarted();
  }
  /// Whether the last response is sent, and the connection stays open only so
  /// that the caller can read it.
  bool isLingering() const {
    return State == state::Closing && PendingBytes == 0;
  }
  bool isClosed() const { return State == state::Closed; }
  /// Bytes queued and not yet sent.
  std::size_t pendingBytes() const { return PendingBytes; }
  void closeIfAtRest(close_reason Reason);
  /// Reads the bytes that have arrived and, if the request is still incomplete,
  /// answers 408 and closes the connection. Returns whether it did.
  bool refuseIncompleteRequest();
  void stopLingering();
  void setClosedHandler(std::function<void()> NewHandler) {
    ClosedHandler = std::move(NewHandler);
  }

private:
  enum class state { Reading, Serving, Closing, Closed };

  /// Waits for bytes. They stay with the operating system until receive(), so
  /// that none is in a queued handler when a timeout is decided.
  void awaitBytes();
  bool isReadAheadFull() const;
  /// Takes bytes that have arrived, without waiting for more, and parses them.
  /// Returns how many.
  std::size_t receive();
  void receiveAvailable();
  void onBytes(std::string_view Bytes);
  void parse();
  void reject(request_parse_error ParseError);
  void startPhase();
  void scheduleTimeoutCheck();
  /// Ends the rest or the request only if what is waited for now is overdue,
  /// whatever the timer was set for.
  void checkTimeout();
  void write(std::string Bytes);
  void setPendingBytes(std::size_t Bytes);
  void flush();
  void endExchange();
  void onResponsesSent();
  void closeGracefully();
  void close(close_reason Reason);
  closed_connection describeClose(close_reason Reason);
  /// Whether a further request of the connection has been read whole.
  bool hasPipelinedRequest() const;
  /// Decides whether the response is the connection's last one.
  void decideKeepAlive();
  /// Whether the response to the current request has a body at all.
  bool sendsBody(int Status) const;
  std::string formatHead(int Status, const http_headers &Headers) const;

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  request_handler &Handler;
  request_parser Parser;
  std::weak_ptr<caller_observer> Observer;
  std::function<void()> ClosedHandler;
  state State = state::Reading;
  receive_timeout Timeout;
  /// When the running timer calls checkTimeout().
  std::optional<steady_time> NextCheckAt;
  std::array<char, 8192> Buffer;
  /// Received and not yet parsed; the caller may pipeline requests.
  std::string Unparsed;
  std::deque<std::string> Outgoing;
  std::size_t PendingBytes = 0;
  /// What the received bytes take that are not yet passed on.
  memory_reservation Inbound;
  memory_reservation Outbound;
  bool IsAwaitingBytes = false;
  bool IsWritePending = false;
  bool KeepAlive = true;
  bool IsHeadRequest = false;
  /// Whether the response that has been started has a body.
  bool IsChunked = false;
  bool CloseWhenSent = false;
  bool Lingers = true;
  bool HasSentContinue = false;
  /// When the last response was sent, or the connection was made.
  steady_time IdleSince;
  /// Bytes of the request that is being read.
  std::size_t RequestBytes = 0;
  std::uint64_t Responses = 0;
};

const char *reasonPhrase(int Status);

} // namespace azurehaven
