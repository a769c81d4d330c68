#include "LibConnection/single_call.h"

#include <asio/post.hpp>

namespace azurehaven {

namespace {

/// Least number of bytes that a connection reads in one turn if they are here.
constexpr std::size_t ReadSize = 8192;
/// Turns of the event loop in which one read is started and handled.
constexpr std::size_t TurnsPerRead = 2;

class buffering_observer
    : public exchange_observer,
      public std::enable_shared_from_this<buffering_observer> {
public:
  buffering_observer(std::shared_ptr<endpoint_connection> Connection,
                     call_handler Handler,
                     const asio::any_io_executor &Executor,
                     std::size_t ResponseLimit)
      : Connection(std::move(Connection)), Handler(std::move(Handler)),
        Timer(Executor), ResponseLimit(ResponseLimit) {}

  void startTimeout(milliseconds Timeout) {
    Timer.expires_after(Timeout);
    Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
      if (!Code)
        Self->onTimeout();
    });
  }

  head_verdict onResponseHead(const response_head &Head) override {
    Response.Status = Head.Status;
    Response.Headers = Head.Headers;
    return head_verdict::Accept;
  }
  void onResponseBody(std::string Bytes) override {
    if (Response.Body.size() + Bytes.size() <= ResponseLimit) {
      Response.Body += Bytes;
      return;
    }
    Connection->abort();
    finish(http_failure{delivery::MayHaveRun, "the response is too large"});
  }
  void onResponseEnd() override { finish(std::move(Response)); }
  void onExchangeFailed(const http_failure &Failure) override {
    finish(Failure);
  }

private:
  /// The response may have come in time, and only this process have been late:
  /// what is here is read first. What comes after that is late.
  void onTimeout() {
    const std::size_t Reads = Connection->unreadBytes() / ReadSize + 1;
    TurnsLeft = TurnsPerRead * (Reads + 1);
    awaitUnread();
  }

  void awaitUnread() {
    if (!Handler)
      return;
    if (TurnsLeft-- == 0)
      return timeOut();
    asio::post(Timer.get_executor(),
               [Self = shared_from_this()] { Self->awaitUnread(); });
  }

  void timeOut() {
    Connection->abort();
    finish(http_failure{delivery::MayHaveRun,
                        "timed out waiting for the response"});
  }

  void finish(call_result Result) {
    Timer.cancel();
    if (auto Finished = std::exchange(Handler, nullptr))
      Finished(std::move(Result));
  }

  std::shared_ptr<endpoint_connection> Connection;
  call_handler Handler;
  asio::steady_timer Timer;
  const std::size_t ResponseLimit;
  std::size_t TurnsLeft = 0;
  http_response Response;
};

} // namespace

void startCall(std::shared_ptr<endpoint_connection> Connection,
               outgoing_request Request, const call_limits &Limits,
               call_handler Handler) {
  auto Call = std::make_shared<buffering_observer>(
      Connection, std::move(Handler), Connection->executor(),
      Limits.ResponseBytes);
  Call->startTimeout(Limits.Timeout);
  Connection->start(std::move(Request), Call);
}

void startCall(std::shared_ptr<endpoint_connection> Connection,
               outgoing_request Request, milliseconds Timeout,
               call_handler Handler) {
  call_limits Limits;
  Limits.Timeout = Timeout;
  startCall(std::move(Connection), std::move(Request), Limits,
            std::move(Handler));
}

outgoing_request formatCall(const std::string &Method,
                            const std::string &Target,
                            const network_address &Address,
                            const std::string &JsonBody) {
  outgoing_request Request;
  Request.Head =
      Method + " " + Target + " HTTP/1.1\r\nHost: " + Address.text() + "\r\n";
  if (!JsonBody.empty())
    Request.Head += "Content-Type: application/json\r\n";
  if (!JsonBody.empty() || Method == "POST")
    Request.Head +=
        "Content-Length: " + std::to_string(JsonBody.size()) + "\r\n";
  Request.Head += "\r\n";
  Request.Body = std::make_shared<const std::string>(JsonBody);
  return Request;
}

} // namespace azurehaven
