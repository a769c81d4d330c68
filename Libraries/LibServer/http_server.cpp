#include "LibServer/http_server.h"

#include "LibConnection/connection_listener.h"
#include "LibHttp/request_target.h"
#include "LibServer/served_exchange.h"
#include "LibServer/worker_pool.h"
#include "LibTypes/clock_source.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>
#include <type_traits>

namespace azurehaven {

namespace {

constexpr milliseconds StopPollInterval{5};

served_request toServedRequest(incoming_request Incoming) {
  const request_target Target = parseTarget(Incoming.Head.Target);
  return {std::move(Incoming.Head.Method), Target.Path, Target.Query,
          std::move(Incoming.Head.Headers), std::move(Incoming.Body)};
}

struct rejection {
  const char *Code;
  const char *Message;
};

rejection describe(request_parse_error ParseError) {
  switch (ParseError) {
  case request_parse_error::BodyTooLarge:
    return {"body_too_large", "the request is larger than accepted"};
  case request_parse_error::HeadTooLarge:
    return {"head_too_large", "the request is larger than accepted"};
  case request_parse_error::Incomplete:
    return {"request_timeout", "the request did not come in time"};
  case request_parse_error::OutOfMemory:
    return {"out_of_memory", "too many bytes are being received"};
  case request_parse_error::None:
  case request_parse_error::Malformed:
    break;
  }
  return {"bad_request", "these bytes are no HTTP/1.1 request"};
}

class event_http_server : public http_server, private request_handler {
public:
  event_http_server(const http_server_limits &Limits, http_handler Handler)
      : Limits(Limits), Handler(std::move(Handler)),
        WorkGuard(Loop.get_executor()),
        Workers(std::make_unique<worker_pool>(Limits.Workers)) {}

  ~event_http_server() override { stop(); }

  status start(const network_address &Address) {
    TRY(Listener,
        connection_listener::listen(Loop, Address, *this, Limits.Connections));
    Thread = std::thread([this] { Loop.run(); });
    return success{};
  }

  void stop() override {
    if (!Thread.joinable())
      return;
    IsStopping = true;
    runOnLoop([this] { Listener->stopAccepting(); });
    while (!runOnLoop([this] { return closeIfAllIdle(); }))
      std::this_thread::sleep_for(StopPollInterval);
    Workers.reset();
    Loop.stop();
    Thread.join();
  }

private:
  /// Destroys the listener with its connections if none of them is busy;
  /// returns whether it did.
  bool closeIfAllIdle() {
    // Closes idle connections first, so that none of them starts a new request.
    Listener->closeIdle();
    Listener->refuseIncompleteRequests();
    if (Listener->busyCount() > 0)
      return false;
    Listener.reset();
    return true;
  }

  /// Runs a function on the event loop, waits for it and returns its result.
  template <typename Function>
  std::invoke_result_t<Function> runOnLoop(Function Task) {
    std::packaged_task<std::invoke_result_t<Function>()> Packaged(
        std::move(Task));
    auto Result = Packaged.get_future();
    asio::post(Loop, std::move(Packaged));
    return Result.get();
  }

  void onRequest(incoming_request Incoming,
                 std::shared_ptr<caller_connection> Caller) override {
    auto Exchange = std::make_shared<served_exchange>(Loop, Caller);
    Caller->setObserver(Exchange);
    auto Request =
        std::make_shared<served_request>(toServedRequest(std::move(Incoming)));
    Workers->run(
        [this, Exchange, Request] { Exchange->respond(Handler, *Request); });
  }

  rejection_body onInvalidRequest(request_parse_error ParseError) override {
    const rejection Rejection = describe(ParseError);
    nlohmann::json Body = {{"error",
                            {{"code", Rejection.Code},
                             {"run", "not_run"},
                             {"message", Rejection.Message},
                             {"retry_after_ms", nullptr}}}};
    return {"application/json", Body.dump()};
  }

  caller_limits limits() const override {
    caller_limits Converted;
    Converted.BodyBytes = Limits.BodyBytes;
    Converted.HeaderTimeout = Limits.HeadTimeout;
    Converted.IdleTimeout = Limits.IdleTimeout;
    return Converted;
  }

  bool sendsConnectionClose() const override { return IsStopping; }
  steady_time now() const override { return Clock.now(); }

  const http_server_limits Limits;
  const http_handler Handler;
  const boot_clock_source Clock;
  asio::io_context Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard;
  std::unique_ptr<connection_listener> Listener;
  std::unique_ptr<worker_pool> Workers;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

} // namespace

result<std::unique_ptr<http_server>>
http_server::listen(const network_address &Address,
                    const http_server_limits &Limits, http_handler Handler) {
  auto Server = std::make_unique<event_http_server>(Limits, std::move(Handler));
  TRY_STATUS(Server->start(Address));
  return std::unique_ptr<http_server>(std::move(Server));
}

} // namespace azurehaven
