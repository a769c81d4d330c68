#include "LibConnection/caller_connection.h"

#include "LibSocket/socket_options.h"

#include <asio/write.hpp>
#include <http_parser.h>

#include <algorithm>

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
  case request_parse_error::Incomplete:
    return 408;
  case request_parse_error::OutOfMemory:
    return 503;
  case request_parse_error::None:
  case request_parse_error::Malformed:
    break;
  }
  return 400;
}

/// Whether the caller must learn that no complete response follows.
constexpr bool isReset(close_reason Reason) {
  return Reason == close_reason::Aborted;
}

} // namespace

const char *reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status));
}

caller_connection::caller_connection(asio::ip::tcp::socket Socket,
                                     request_handler &Handler)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Handler(Handler), Parser(Handler.limits()), Inbound(Handler.memory()),
      Outbound(Handler.memory()), IdleSince(Handler.now()) {}

void caller_connection::start() {
  setConnectionOptions(Socket, UnacknowledgedDataTimeout);
  asio::error_code Code;
  Socket.non_blocking(true, Code);
  if (Code)
    return close(close_reason::Aborted);
  startPhase();
  awaitBytes();
}

bool caller_connection::isReadAheadFull() const {
  const memory_budget *Memory = Handler.memory();
  const std::size_t Limit =
      Memory && Memory->isExhausted() ? 0 : ReadAheadLimitBytes;
  return Unparsed.size() > Limit;
}

void caller_connection::awaitBytes() {
  if (IsAwaitingBytes || State == state::Closed || isReadAheadFull())
    return;
  IsAwaitingBytes = true;
  Socket.async_wait(asio::socket_base::wait_read,
                    [Self = shared_from_this()](const asio::error_code &Code) {
                      Self->IsAwaitingBytes = false;
                      if (Self->State == state::Closed)
                        return;
                      if (Code)
                        return Self->close(close_reason::ByCaller);
                      Self->receive();
                      Self->awaitBytes();
                    });
}

std::size_t caller_connection::receive() {
  asio::error_code Code;
  const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Code);
  if (Code == asio::error::would_block || Code == asio::error::interrupted)
    return 0;
  if (Code)
    close(close_reason::ByCaller);
  else
    onBytes({Buffer.data(), Size});
  return Size;
}

void caller_connection::receiveAvailable() {
  asio::error_code Ignored;
  const state Current = State;
  // Only what is here now: a caller that sends without end is not followed.
  std::size_t Remaining = Socket.available(Ignored);
  while (Remaining > 0 && State == Current) {
    const std::size_t Size = receive();
    if (Size == 0)
      return;
    Remaining -= std::min(Size, Remaining);
  }
}

void caller_connection::onBytes(std::string_view Bytes) {
  if (State == state::Closing)
    return;
  Unparsed.append(Bytes);
  if (State == state::Reading)
    return parse();
  Inbound.resize(Unparsed.size());
}

void caller_connection::parse() {
  // Without bytes the parser would take the input for ended.
  if (Unparsed.empty())
    return;
  // The handler's limits may change while the connection is open.
  Parser.updateLimits(Handler.limits());
  const std::size_t Consumed = Parser.consume(Unparsed);
  RequestBytes += Consumed;
  Unparsed.erase(0, Consumed);
  if (Parser.parseError() != request_parse_error::None)
    return reject(Parser.parseError());
  if (!Inbound.tryResize(RequestBytes + Unparsed.size()))
    return reject(request_parse_error::OutOfMemory);
  if (!Parser.isComplete()) {
    if (Parser.isHeadComplete() && !HasSentContinue &&
        equalsIgnoringCase(headerValue(Parser.head().Headers, "Expect"),
                           "100-continue")) {
      HasSentContinue = true;
      write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return startPhase();
  }
  State = state::Serving;
  Timeout.stop();
  incoming_request Request{
      Parser.head(), std::move(Parser.body()),
      std::exchange(Inbound, memory_reservation(Handler.memory()))};
  Inbound.resize(Unparsed.size());
  KeepAlive = Request.Head.KeepAlive;
  IsHeadRequest = Request.Head.Method == "HEAD";
  Handler.onRequest(std::move(Request), shared_from_this());
}

void caller_connection::reject(request_parse_error ParseError) {
  const rejection_body Body = Handler.onInvalidRequest(ParseError);
  State = state::Serving;
  Timeout.stop();
  KeepAlive = false;
  IsHeadRequest = false;
  http_headers Headers = Body.Headers;
  if (!Body.ContentType.empty())
    Headers.emplace_back("Content-Type", Body.ContentType);
  sendResponse(statusFor(ParseError), Headers, Body.Text);
}

void caller_connection::startPhase() {
  const receive_phase Phase = Parser.isHeadComplete() ? receive_phase::Body
                              : Parser.hasStarted()   ? receive_phase::Head
                                                      : receive_phase::Rest;
  // Rest begins once the response is sent.
  if (Phase == receive_phase::Rest && PendingBytes > 0)
    return Timeout.stop();
  Timeout.start(Phase, Handler.limits(), Handler.now());
  scheduleTimeoutCheck();
}

void caller_connection::scheduleTimeoutCheck() {
  const auto DueAt = Timeout.dueAt(Handler.limits());
  if (!DueAt || (NextCheckAt && *NextCheckAt <= *DueAt))
    return;
  NextCheckAt = DueAt;
  Timer.expires_after(*DueAt - Handler.now());
  Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Code) {
    auto Self = Weak.lock();
    if (Code || !Self)
      return;
    Self->NextCheckAt.reset();
    Self->checkTimeout();
  });
}

void caller_connection::checkTimeout() {
  if (!Timeout.expiredPhase(Handler.limits(), Handler.now()))
    return scheduleTimeoutCheck();
  // The bytes may have come in time, and only this process have been late.
  receiveAvailable();
  if (State != state::Reading || !Unparsed.empty())
    return;
  const auto Expired = Timeout.expiredPhase(Handler.limits(), Handler.now());
  if (!Expired)
    return scheduleTimeoutCheck();
  if (*Expired == receive_phase::Rest)
    close(close_reason::IdleTimeout);
  else
    reject(request_parse_error::Incomplete);
}

bool caller_connection::hasPipelinedRequest() const {
  if (Unparsed.empty())
    return false;
  request_parser Next(Handler.limits());
  Next.consume(Unparsed);
  return Next.isComplete();
}

void caller_connection::decideKeepAlive() {
  // A request that has been read whole gets its response, too.
  if (Handler.sendsConnectionClose() && !hasPipelinedRequest())
    KeepAlive = false;
}

std::string caller_connection::formatHead(int Status,
                                          const http_headers &Headers) const {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     reasonPhrase(Status) + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  if (!KeepAlive)
    Text += "Connection: close\r\n";
  return Text;
}

void caller_connection::sendResponse(int Status, const http_headers &Headers,
                                     const std::string &Body) {
  if (State != state::Serving)
    return;
  decideKeepAlive();
  std::string Text = formatHead(Status, Headers);
  if (!sendsBody(Status)) {
    Text += "\r\n";
  } else {
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    Text.reserve(Text.size() + Body.size());
    Text += Body;
  }
  write(std::move(Text));
  endExchange();
}

void caller_connection::startResponse(int Status, const http_headers &Headers) {
  if (State != state::Serving)
    return;
  decideKeepAlive();
  IsChunked = sendsBody(Status);
  write(formatHead(Status, Headers) +
        (IsChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
}

bool caller_connection::sendsBody(int Status) const {
  return !IsHeadRequest && !hasNoBody(Status);
}

void caller_connection::sendChunk(const std::string &Bytes) {
  if (State != state::Serving || !IsChunked || Bytes.empty())
    return;
  char Size[20];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  write(Size + Bytes + "\r\n");
}

void caller_connection::finishResponse() {
  if (State != state::Serving)
    return;
  if (IsChunked)
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
  HasSentContinue = false;
  Parser.reset();
  startPhase();
  if (Unparsed.empty())
    return awaitBytes();
  // Parses pipelined requests in a new task of the event loop, so that a long
  // pipeline does not recurse.
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->State == state::Reading)
      Self->parse();
    Self->awaitBytes();
  });
}

void caller_connection::write(std::string Bytes) {
  if (State == state::Closed)
    return;
  setPendingBytes(PendingBytes + Bytes.size());
  Outgoing.push_back(std::move(Bytes));
  if (!IsWritePending)
    flush();
}

void caller_connection::setPendingBytes(std::size_t Bytes) {
  PendingBytes = Bytes;
  Outbound.resize(Bytes);
}

void caller_connection::flush() {
  // Sends all queued buffers in one write.
  std::string Joined = std::move(Outgoing.front());
  Outgoing.pop_front();
  for (const auto &Bytes : Outgoing)
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
                      Self->setPendingBytes(Self->PendingBytes - Text->size());
                      if (!Self->Outgoing.empty())
                        return Self->flush();
                      if (auto CurrentObserver = Self->Observer.lock())
                        CurrentObserver->onSendBufferDrained();
                      if (Self->CloseWhenSent)
                        return Self->closeGracefully();
                      Self->onResponsesSent();
                    });
}

void caller_connection::onResponsesSent() {
  if (State != state::Reading || Parser.hasStarted())
    return;
  IdleSince = Handler.now();
  startPhase();
}

void caller_connection::closeGracefully() {
  asio::error_code Ignored;
  Socket.shutdown(asio::socket_base::shutdown_send, Ignored);
  if (!Lingers)
    return stopLingering();
  Timer.expires_after(LingerTimeout);
  Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
    if (!Code)
      Self->stopLingering();
  });
  awaitBytes();
}

bool caller_connection::isAtRest() const {
  const bool IsBetweenRequests =
      State == state::Reading && !Parser.hasStarted() && Unparsed.empty();
  // The end of the last response may still be on its way.
  if (!IsBetweenRequests || PendingBytes > 0)
    return false;
  asio::error_code Ignored;
  return Socket.available(Ignored) == 0;
}

void caller_connection::closeIfAtRest(close_reason Reason) {
  if (isAtRest())
    close(Reason);
}

bool caller_connection::refuseIncompleteRequest() {
  const auto Self = shared_from_this();
  if (!hasIncompleteRequest())
    return false;
  receiveAvailable();
  if (!hasIncompleteRequest())
    return false;
  Lingers = false;
  reject(request_parse_error::Incomplete);
  return true;
}

void caller_connection::stopLingering() {
  const auto Self = shared_from_this();
  if (!isLingering())
    return;
  // Unread bytes would make the close a reset, which can overtake the response.
  receiveAvailable();
  close(close_reason::AfterResponse);
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
  Closed.ArmedTimeout = Timeout.duration(Handler.limits());
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
