#include "LibConnection/caller_connection.h"

#include "LibSocket/socket_options.h"

#include <http_parser.h>
#include <strings.h>

#include <asio/write.hpp>

namespace azurehaven {

namespace {

/// Unparsed bytes of pipelined requests; beyond it reading pauses.
constexpr std::size_t ReadAheadLimitBytes = 65536;
/// How long received bytes are discarded after the last response, so that the
/// caller can read the response before a reset reaches it.
constexpr milliseconds LingerTimeout{500};
/// How long sent bytes may stay unacknowledged by a caller.
constexpr milliseconds UnacknowledgedDataTimeout{5000};

constexpr bool hasNoBody(int Status) { return Status == 204 || Status == 304; }

int statusFor(request_parse_error ParseError) {
  switch (ParseError) {
  case request_parse_error::HeadTooLarge:
    return 431;
  case request_parse_error::BodyTooLarge:
    return 413;
  case request_parse_error::None:
  case request_parse_error::Malformed:
    break;
  }
  return 400;
}

/// Whether the caller must learn that no complete response follows.
constexpr bool isReset(close_reason Reason) {
  return Reason == close_reason::Aborted ||
         Reason == close_reason::ConnectionLimit;
}

} // namespace

const char *reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status));
}

caller_connection::caller_connection(asio::ip::tcp::socket Socket,
                                     request_handler &Handler)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Handler(Handler), Parser(Handler.limits()), IdleSince(Handler.now()) {}

void caller_connection::start() {
  setConnectionOptions(Socket, UnacknowledgedDataTimeout);
  updateTimer();
  read();
}

void caller_connection::read() {
  if (IsReadPending || State == state::Closed ||
      Unparsed.size() > ReadAheadLimitBytes)
    return;
  IsReadPending = true;
  Socket.async_read_some(asio::buffer(Buffer),
                         [Self = shared_from_this()](
                             const asio::error_code &Code, std::size_t Size) {
                           Self->IsReadPending = false;
                           if (Self->State == state::Closed)
                             return;
                           if (Code)
                             return Self->close(close_reason::ByCaller);
                           if (Self->State != state::Closing) {
                             Self->Unparsed.append(Self->Buffer.data(), Size);
                             if (Self->State == state::Reading)
                               Self->parse();
                           }
                           Self->read();
                         });
}

void caller_connection::parse() {
  const std::size_t Consumed = Parser.consume(Unparsed);
  RequestBytes += Consumed;
  Unparsed.erase(0, Consumed);
  if (Parser.parseError() != request_parse_error::None)
    return reject(Parser.parseError());
  if (!Parser.isComplete()) {
    // The body timeout starts once the head is complete; until then no 100
    // Continue was sent for this request.
    if (Parser.isHeadComplete() && RunningTimeout != timeout_kind::Body &&
        strcasecmp(headerValue(Parser.head().Headers, "Expect").c_str(),
                   "100-continue") == 0)
      write("HTTP/1.1 100 Continue\r\n\r\n");
    return updateTimer();
  }
  State = state::Serving;
  updateTimer();
  incoming_request Request{Parser.head(), std::move(Parser.body())};
  KeepAlive = Request.Head.KeepAlive;
  IsHeadRequest = Request.Head.Method == "HEAD";
  Handler.onRequest(std::move(Request), shared_from_this());
}

void caller_connection::reject(request_parse_error ParseError) {
  const rejection_body Body = Handler.onInvalidRequest(ParseError);
  State = state::Serving;
  KeepAlive = false;
  http_headers Headers;
  if (!Body.ContentType.empty())
    Headers.emplace_back("Content-Type", Body.ContentType);
  sendResponse(statusFor(ParseError), Headers, Body.Text);
}

void caller_connection::updateTimer() {
  timeout_kind Wanted = timeout_kind::None;
  if (State == state::Reading)
    Wanted = Parser.isHeadComplete() ? timeout_kind::Body
             : Parser.hasStarted()   ? timeout_kind::Head
                                     : timeout_kind::Idle;
  // The header timeout runs from the first byte of the head; later bytes don't
  // extend it.
  if (Wanted == RunningTimeout && Wanted == timeout_kind::Head)
    return;
  RunningTimeout = Wanted;
  ArmedTimeout = milliseconds(0);
  Timer.cancel();
  if (Wanted == timeout_kind::None)
    return;
  // The handler's limits may change while the connection is open.
  const caller_limits Limits = Handler.limits();
  Parser.setLimits(Limits);
  ArmedTimeout =
      Wanted == timeout_kind::Head ? Limits.HeaderTimeout : Limits.IdleTimeout;
  Timer.expires_after(ArmedTimeout);
  Timer.async_wait([Weak = weak_from_this(),
                    Wanted](const asio::error_code &Code) {
    auto Self = Weak.lock();
    if (!Code && Self && Self->State == state::Reading)
      Self->close(Wanted == timeout_kind::Idle ? close_reason::IdleTimeout
                                               : close_reason::RequestTimeout);
  });
}

std::string caller_connection::formatHead(int Status,
                                          const http_headers &Headers) const {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     reasonPhrase(Status) + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  if (!KeepAlive || Handler.sendsConnectionClose())
    Text += "Connection: close\r\n";
  return Text;
}

void caller_connection::sendResponse(int Status, const http_headers &Headers,
                                     const std::string &Body) {
  if (State != state::Serving)
    return;
  if (Handler.sendsConnectionClose())
    KeepAlive = false;
  std::string Text = formatHead(Status, Headers);
  if (!hasNoBody(Status))
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n";
  if (!IsHeadRequest && !hasNoBody(Status))
    Text += Body;
  write(std::move(Text));
  endExchange();
}

void caller_connection::startResponse(int Status, const http_headers &Headers) {
  if (State != state::Serving)
    return;
  if (Handler.sendsConnectionClose())
    KeepAlive = false;
  write(formatHead(Status, Headers) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_connection::sendChunk(const std::string &Bytes) {
  if (State != state::Serving || Bytes.empty())
    return;
  char Size[20];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  write(Size + Bytes + "\r\n");
}

void caller_connection::finishResponse() {
  if (State != state::Serving)
    return;
  write("0\r\n\r\n");
  endExchange();
}

void caller_connection::truncateResponse() {
  if (State != state::Serving)
    return;
  KeepAlive = false;
  endExchange();
}

void caller_connection::endExchange() {
  Observer.reset();
  ++Responses;
  RequestBytes = 0;
  IdleSince = Handler.now();
  if (!KeepAlive) {
    State = state::Closing;
    CloseWhenSent = true;
    if (!IsWritePending)
      closeGracefully();
    return;
  }
  State = state::Reading;
  Parser.reset();
  updateTimer();
  if (Unparsed.empty())
    return read();
  // Parses pipelined requests in a new task of the event loop, so that a long
  // pipeline does not recurse.
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->State == state::Reading)
      Self->parse();
    Self->read();
  });
}

void caller_connection::write(std::string Bytes) {
  if (State == state::Closed)
    return;
  PendingBytes += Bytes.size();
  Outgoing.push_back(std::move(Bytes));
  if (!IsWritePending)
    flush();
}

void caller_connection::flush() {
  // Sends all queued buffers in one write.
  std::string Joined;
  for (auto &Bytes : Outgoing)
    Joined += Bytes;
  Outgoing.clear();
  IsWritePending = true;
  auto Text = std::make_shared<std::string>(std::move(Joined));
  asio::async_write(Socket, asio::buffer(*Text),
                    [Self = shared_from_this(),
                     Text](const asio::error_code &Code, std::size_t) {
                      Self->IsWritePending = false;
                      if (Self->State == state::Closed)
                        return;
                      if (Code)
                        return Self->close(close_reason::ByCaller);
                      Self->PendingBytes -= Text->size();
                      if (!Self->Outgoing.empty())
                        return Self->flush();
                      if (auto CurrentObserver = Self->Observer.lock())
                        CurrentObserver->onSendBufferDrained();
                      if (Self->CloseWhenSent)
                        Self->closeGracefully();
                    });
}

void caller_connection::closeGracefully() {
  asio::error_code Ignored;
  Socket.shutdown(asio::socket_base::shutdown_send, Ignored);
  Timer.expires_after(LingerTimeout);
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (!Code)
      Self->close(close_reason::AfterResponse);
  });
  read();
}

void caller_connection::closeIfIdle() {
  const bool IsBetweenRequests =
      State == state::Reading && !Parser.hasStarted() && Unparsed.empty();
  // The end of the last response may still be on its way.
  if (IsBetweenRequests && PendingBytes == 0)
    close(close_reason::Stop);
}

void caller_connection::abort(close_reason Reason) {
  Observer.reset();
  if (State != state::Closed)
    close(Reason);
}

closed_connection caller_connection::describeClose(close_reason Reason) {
  asio::error_code Ignored;
  closed_connection Closed;
  Closed.Reason = Reason;
  Closed.HasRequest = State == state::Serving;
  Closed.RequestBytes = RequestBytes + Unparsed.size();
  // Bytes after the last response are discarded; they belong to no request.
  if (State != state::Closing)
    Closed.UnreadBytes = Socket.available(Ignored);
  Closed.UnsentBytes = PendingBytes;
  Closed.IdleTime =
      std::chrono::duration_cast<milliseconds>(Handler.now() - IdleSince);
  Closed.ArmedTimeout = ArmedTimeout;
  Closed.Responses = Responses;
  return Closed;
}

void caller_connection::close(close_reason Reason) {
  if (State == state::Closed)
    return;
  const closed_connection Description = describeClose(Reason);
  State = state::Closed;
  if (isReset(Reason))
    resetConnection(Socket);
  asio::error_code Ignored;
  Socket.close(Ignored);
  Timer.cancel();
  auto CurrentObserver = Observer.lock();
  Observer.reset();
  if (CurrentObserver)
    CurrentObserver->onCallerDisconnected();
  Handler.onConnectionClosed(Description);
  if (auto Closed = std::exchange(ClosedHandler, nullptr))
    Closed();
}

} // namespace azurehaven
