#include "LibConnection/endpoint_connection.h"

#include "LibSocket/socket_options.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace azurehaven {

namespace {

/// Limit on the bodies of late responses that are skipped before the expected
/// one.
constexpr std::size_t SkipLimitBytes = 1 << 20;

connection_loss lossOf(const asio::error_code &Code) {
  if (Code == asio::error::connection_refused)
    return connection_loss::Refused;
  const bool IsSilent = Code == asio::error::timed_out ||
                        Code == asio::error::host_unreachable ||
                        Code == asio::error::network_unreachable;
  return IsSilent ? connection_loss::TimedOut : connection_loss::Ended;
}

} // namespace

endpoint_connection::endpoint_connection(asio::any_io_executor Executor,
                                         network_address Address,
                                         connection_timeouts Timeouts,
                                         steady_time CreatedAt)
    : Socket(Executor), ConnectTimer(Executor), Address(std::move(Address)),
      Timeouts(Timeouts), CreatedAt(CreatedAt) {}

void endpoint_connection::start(
    outgoing_request NewRequest,
    std::shared_ptr<exchange_observer> NewObserver) {
  Request = std::move(NewRequest);
  Observer = std::move(NewObserver);
  HeadDelivered = false;
  SkippingResponse = false;
  SkippedBytes = 0;
  HasWriteFailed = false;
  Paused = false;
  resetParser();
  if (State == state::Unconnected)
    return connect();
  State = state::Busy;
  send();
}

void endpoint_connection::resetParser() {
  Parser.reset();
  if (Request.IsHead)
    Parser.expectResponseToHead();
}

void endpoint_connection::connect() {
  State = state::Connecting;
  auto Self = shared_from_this();
  ConnectTimer.expires_after(Timeouts.Connect);
  ConnectTimer.async_wait([Self](const asio::error_code &Code) {
    if (!Code && Self->State == state::Connecting)
      Self->fail(delivery::NotSent, "connect timed out");
  });
  Socket.async_connect(
      socketAddress(Address), [Self](const asio::error_code &Code) {
        if (Self->State != state::Connecting)
          return;
        Self->ConnectTimer.cancel();
        if (Code)
          return Self->fail(delivery::NotSent, "connect: " + Code.message(),
                            lossOf(Code));
        setConnectionOptions(Self->Socket, Self->Timeouts.UnacknowledgedData);
        if (Self->Timeouts.KeepAliveIdle)
          setKeepAlive(Self->Socket, *Self->Timeouts.KeepAliveIdle);
        Self->State = state::Busy;
        Self->send();
      });
}

void endpoint_connection::send() {
  auto Self = shared_from_this();
  std::array<asio::const_buffer, 2> Buffers = {
      asio::buffer(Request.Head),
      Request.Body ? asio::buffer(*Request.Body) : asio::const_buffer()};
  IsWritePending = true;
  asio::async_write(
      Socket, Buffers,
      [Self, Body = Request.Body](const asio::error_code &Code, std::size_t) {
        Self->IsWritePending = false;
        if (Self->State == state::Closed)
          return;
        if (!Code) {
          // The response may be complete before the request is fully written;
          // the connection is released only after both.
          if (Self->Observer)
            Self->Observer->onRequestSent();
          else
            Self->release();
          return;
        }
        // An endpoint may respond and close before it has read the whole
        // request; a pending read still delivers that response.
        Self->HasWriteFailed = true;
        if (!Self->IsReadPending)
          Self->onConnectionLost("write: " + Code.message(), lossOf(Code));
      });
  if (!IsReadPending)
    read();
}

void endpoint_connection::read() {
  IsReadPending = true;
  auto Self = shared_from_this();
  Socket.async_read_some(asio::buffer(Buffer), [Self](
                                                   const asio::error_code &Code,
                                                   std::size_t Size) {
    Self->IsReadPending = false;
    if (Self->State == state::Closed)
      return;
    if (Code == asio::error::eof)
      return Self->onEndOfInput();
    if (Code)
      return Self->onConnectionLost("read: " + Code.message(), lossOf(Code));
    Self->onBytesRead(Size);
    if (Self->State != state::Closed && !Self->Paused && !Self->IsReadPending)
      Self->read();
  });
}

void endpoint_connection::onEndOfInput() {
  if (!IsWritePending)
    return endInput();
  // A reset is reported once. If a write was told of it, the read ends as if
  // the endpoint had closed the connection in order; that write's handler may
  // still be queued.
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->State != state::Closed)
      Self->endInput();
  });
}

void endpoint_connection::endInput() {
  if (Observer && HeadDelivered && !HasWriteFailed) {
    Parser.finish();
    if (Parser.isComplete())
      return finishExchange();
  }
  onConnectionLost("closed by the endpoint", connection_loss::Ended);
}

void endpoint_connection::onBytesRead(std::size_t Size) {
  if (!Observer)
    return close(); // Bytes outside an exchange.
  std::string_view Bytes(Buffer.data(), Size);
  while (!Bytes.empty() && Observer) {
    const std::size_t Consumed = Parser.consume(Bytes);
    Bytes.remove_prefix(std::min(Consumed, Bytes.size()));
    if (!deliver(Bytes))
      return;
  }
}

bool endpoint_connection::deliver(std::string_view Rest) {
  // Keeps this object alive while the observer may drop its last reference.
  auto Self = shared_from_this();
  if (Parser.isHeadComplete() && !HeadDelivered && !SkippingResponse) {
    switch (Observer->onResponseHead(Parser.head())) {
    case head_verdict::Accept:
      HeadDelivered = true;
      break;
    case head_verdict::SkipResponse:
      SkippingResponse = true;
      break;
    case head_verdict::Reject:
      fail(delivery::MayHaveRun, "the response does not belong to the request",
           connection_loss::Rejected);
      return false;
    }
    if (State == state::Closed || !Observer)
      return false;
  }
  std::string Body = Parser.takeBody();
  if (SkippingResponse)
    SkippedBytes += Body.size();
  if (SkippedBytes > SkipLimitBytes) {
    fail(delivery::MayHaveRun, "a late response has no end",
         connection_loss::Rejected);
    return false;
  }
  if (HeadDelivered && !Body.empty()) {
    Observer->onResponseBody(std::move(Body));
    if (State == state::Closed || !Observer)
      return false;
  }
  if (Parser.isComplete() && SkippingResponse) {
    const bool IsKeptAlive = Parser.isKeptAlive();
    SkippingResponse = false;
    resetParser();
    if (IsKeptAlive)
      return true;
    fail(delivery::MayHaveRun,
         "the endpoint closes the connection after a late response",
         connection_loss::Rejected);
    return false;
  }
  if (Parser.isMalformed()) {
    fail(delivery::MayHaveRun, "malformed response", connection_loss::Rejected);
    return false;
  }
  if (!Parser.isComplete())
    return true;
  const bool HasExtraBytes = !Rest.empty();
  if (HasExtraBytes || !Parser.isKeptAlive())
    close();
  finishExchange();
  return false;
}

void endpoint_connection::finishExchange() {
  auto Self = shared_from_this();
  auto Finished = std::exchange(Observer, nullptr);
  if (State != state::Closed && !Parser.isKeptAlive())
    close();
  if (State != state::Closed && !IsWritePending)
    release();
  if (Finished)
    Finished->onResponseEnd();
}

void endpoint_connection::release() {
  if (State == state::Closed)
    return;
  State = state::Idle;
  Request = {};
  // A pending read detects when the endpoint closes the idle connection.
  Paused = false;
  if (!IsReadPending)
    read();
  if (auto Handler = ReleaseHandler)
    Handler();
}

std::size_t endpoint_connection::unreadBytes() const {
  asio::error_code Code;
  const std::size_t Size = Socket.available(Code);
  return Code ? 0 : Size;
}

void endpoint_connection::pauseReading() { Paused = true; }

void endpoint_connection::resumeReading() {
  if (!Paused)
    return;
  Paused = false;
  if (!IsReadPending && State == state::Busy)
    read();
}

void endpoint_connection::onConnectionLost(const std::string &Reason,
                                           connection_loss Loss) {
  if (!Observer)
    return close();
  fail(delivery::MayHaveRun, Reason, Loss);
}

void endpoint_connection::fail(delivery Delivery, const std::string &Message,
                               connection_loss Loss) {
  auto Self = shared_from_this();
  auto Failed = std::exchange(Observer, nullptr);
  close();
  if (Failed)
    Failed->onExchangeFailed({Delivery, Message, Loss});
}

void endpoint_connection::abort() {
  Observer = nullptr;
  close();
}

void endpoint_connection::close() {
  if (State == state::Closed)
    return;
  State = state::Closed;
  ConnectTimer.cancel();
  resetConnection(Socket);
  if (auto Handler = std::exchange(ReleaseHandler, nullptr))
    Handler();
}

} // namespace azurehaven
