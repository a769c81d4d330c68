#include "LibConnection/single_call.h"

namespace azurehaven {

namespace {

/// Limit on the response body of a call, whether the platform or an endpoint
/// sends it.
constexpr std::size_t ResponseLimitBytes = 16 << 20;

class buffering_observer
    : public exchange_observer,
      public std::enable_shared_from_this<buffering_observer> {
public:
  buffering_observer(std::shared_ptr<endpoint_connection> Connection,
                     call_handler Handler,
                     const asio::any_io_executor &Executor)
      : Connection(std::move(Connection)), Handler(std::move(Handler)),
        Timer(Executor) {}

  void startTimeout(milliseconds Timeout) {
    Timer.expires_after(Timeout);
    Timer.async_wait([Self = shared_from_this()](const asio::error_code &Code) {
      if (Code || !Self->Handler)
        return;
      Self->Connection->abort();
      Self->finish(http_failure{delivery::MayHaveRun,
                                "timed out waiting for the response"});
    });
  }

  head_verdict onResponseHead(const response_head &Head) override {
    Response.Status = Head.Status;
    Response.Headers = Head.Headers;
    return head_verdict::Accept;
  }
  void onResponseBody(std::string Bytes) override {
    Response.Body += Bytes;
    if (Response.Body.size() <= ResponseLimitBytes)
      return;
    Connection->abort();
    finish(http_failure{delivery::MayHaveRun, "the response is too large"});
  }
  void onResponseEnd() override { finish(std::move(Response)); }
  void onExchangeFailed(const http_failure &Failure) override {
    finish(Failure);
  }

private:
  void finish(call_result Result) {
    Timer.cancel();
    if (auto Finished = std::exchange(Handler, nullptr))
      Finished(std::move(Result));
  }

  std::shared_ptr<endpoint_connection> Connection;
  call_handler Handler;
  asio::steady_timer Timer;
  http_response Response;
};

} // namespace

void startCall(std::shared_ptr<endpoint_connection> Connection,
               outgoing_request Request, milliseconds Timeout,
               call_handler Handler) {
  auto Call = std::make_shared<buffering_observer>(
      Connection, std::move(Handler), Connection->executor());
  Call->startTimeout(Timeout);
  Connection->start(std::move(Request), Call);
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
