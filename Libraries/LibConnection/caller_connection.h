#pragma once

#include "LibConnection/request_parser.h"
#include "LibTypes/units.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace azurehaven {

class caller_connection;

/// A whole request as received from a caller.
struct incoming_request {
  request_head Head;
  std::string Body;
};

/// What the answer to bytes that are no proper request says.
struct rejection_body {
  std::string ContentType;
  std::string Text;
};

/// What happens with the requests of a listener.
class request_handler {
public:
  virtual ~request_handler() = default;
  virtual void onRequest(incoming_request Request,
                         std::shared_ptr<caller_connection> Caller) = 0;
  /// Bytes that are no proper request; the connection closes after the answer.
  virtual rejection_body onInvalidRequest(request_parse_error ParseError) = 0;
  virtual caller_limits limits() const = 0;
  /// Whether answers announce that the connection closes.
  virtual bool sendsConnectionClose() const = 0;
};

/// Told when a caller leaves while its request is being served.
class caller_observer {
public:
  virtual ~caller_observer() = default;
  virtual void onCallerDisconnected() = 0;
  /// What was waiting to be sent has gone out.
  virtual void onSendBufferDrained() {}
};

/// One caller's connection: reads requests one at a time, writes answers in
/// order. Lives on one event loop; not thread-safe.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  caller_connection(asio::ip::tcp::socket Socket, request_handler &Handler);

  void start();
  void setObserver(std::weak_ptr<caller_observer> NewObserver) {
    Observer = std::move(NewObserver);
  }

  /// A whole answer with its length.
  void sendResponse(int Status, const http_headers &Headers,
                    const std::string &Body);
  /// An answer whose body follows in pieces.
  void startResponse(int Status, const http_headers &Headers);
  void sendChunk(const std::string &Bytes);
  void finishResponse();
  /// Closes once the pieces have gone out, without the mark of the end.
  void truncateResponse();
  /// Breaks the answer off so that it can't be taken for a whole one.
  void abort();

  bool hasRequest() const { return State == state::Serving; }
  /// Whether a request is served or an answer is still going out.
  bool isBusy() const {
    return State == state::Serving || State == state::Closing ||
           PendingBytes > 0;
  }
  bool isClosed() const { return State == state::Closed; }
  /// Bytes that wait to be sent.
  std::size_t pendingBytes() const { return PendingBytes; }
  /// Closes it if no request is being read or served.
  void closeIfIdle();
  void setClosedHandler(std::function<void()> NewHandler) {
    ClosedHandler = std::move(NewHandler);
  }

private:
  enum class state { Reading, Serving, Closing, Closed };
  enum class wait_kind { Idle, Head, Body, None };

  void read();
  void parse();
  void reject(request_parse_error ParseError);
  void updateTimer();
  void write(std::string Bytes);
  void flush();
  void endExchange();
  void closeGracefully();
  void close();
  std::string formatHead(int Status, const http_headers &Headers) const;

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  request_handler &Handler;
  request_parser Parser;
  std::weak_ptr<caller_observer> Observer;
  std::function<void()> ClosedHandler;
  state State = state::Reading;
  wait_kind Waiting = wait_kind::None;
  std::array<char, 8192> Buffer;
  /// Received and not yet parsed: the caller may send ahead.
  std::string Unparsed;
  std::deque<std::string> Outgoing;
  std::size_t PendingBytes = 0;
  bool Reading = false;
  bool Writing = false;
  bool KeepAlive = true;
  bool IsHeadRequest = false;
  bool CloseWhenSent = false;
};

/// The text of a status code.
const char *reasonPhrase(int Status);

} // namespace azurehaven
