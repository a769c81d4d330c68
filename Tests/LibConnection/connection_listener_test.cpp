#include "connection_fixture.h"

#include "LibConnection/connection_listener.h"
#include "LibConnection/single_call.h"

#include <doctest/doctest.h>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <optional>

using namespace azurehaven;

namespace {

class echo_handler : public request_handler {
public:
  void onRequest(incoming_request Request,
                 std::shared_ptr<caller_connection> Caller) override {
    ++Served;
    Caller->sendResponse(200, {},
                         ResponseBody.empty() ? Request.Body : ResponseBody);
  }
  rejection_body onInvalidRequest(request_parse_error) override {
    ++Rejected;
    return {};
  }
  caller_limits limits() const override { return Limits; }
  bool sendsConnectionClose() const override { return SendsConnectionClose; }
  steady_time now() const override { return std::chrono::steady_clock::now(); }
  void onConnectionClosed(const closed_connection &New) override {
    Closed.push_back(New);
  }

  caller_limits Limits;
  std::string ResponseBody;
  bool SendsConnectionClose = false;
  int Served = 0;
  int Rejected = 0;
  std::vector<closed_connection> Closed;
};

network_address addressOf(std::uint16_t Port) { return {"127.0.0.1", Port}; }

/// A listener on a free port of the loopback address.
std::unique_ptr<connection_listener> listenOnFreePort(asio::io_context &Loop,
                                                      echo_handler &Handler,
                                                      std::size_t Limit,
                                                      std::uint16_t &Port) {
  for (Port = 42000; Port < 43000; ++Port) {
    auto Listener =
        connection_listener::listen(Loop, addressOf(Port), Handler, Limit);
    if (!isError(Listener))
      return std::move(valueOf(Listener));
  }
  return nullptr;
}

} // namespace

TEST_CASE("Idle connections and incomplete heads do not block new callers") {
  asio::io_context Loop(1);
  echo_handler Handler;
  std::uint16_t Port = 0;
  constexpr std::size_t Limit = 20;
  auto Listener = listenOnFreePort(Loop, Handler, Limit, Port);
  REQUIRE(Listener);
  std::vector<asio::ip::tcp::socket> Idle;
  for (std::size_t Index = 0; Index < 5 * Limit; ++Index) {
    Idle.emplace_back(Loop);
    Idle.back().connect({asio::ip::make_address("127.0.0.1"), Port});
    if (Index % 2 == 0)
      asio::write(Idle.back(), asio::buffer(std::string("GET / HT")));
    Loop.poll();
  }
  std::optional<call_result> Response;
  startCall(std::make_shared<endpoint_connection>(
                Loop.get_executor(), addressOf(Port), connection_timeouts{}),
            formatCall("POST", "/", addressOf(Port), "{}"),
            std::chrono::seconds(20),
            [&](call_result Result) { Response = std::move(Result); });
  while (!Response)
    Loop.run_one();
  REQUIRE(std::holds_alternative<http_response>(*Response));
  CHECK(std::get<http_response>(*Response).Body == "{}");
  CHECK(Listener->connectionCount() <= Limit);
}

TEST_CASE(
    "A call ends as its response grows beyond the limit, and keeps no more "
    "of it") {
  constexpr std::size_t LimitBytes = 64 << 10;
  asio::io_context Loop(1);
  echo_handler Handler;
  for (const std::size_t Size : {LimitBytes, LimitBytes + 1}) {
    Handler.ResponseBody = std::string(Size, 'x');
    std::uint16_t Port = 0;
    auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
    REQUIRE(Listener);
    std::optional<call_result> Result;
    startCall(std::make_shared<endpoint_connection>(
                  Loop.get_executor(), addressOf(Port), connection_timeouts{}),
              formatCall("GET", "/", addressOf(Port)),
              call_limits{std::chrono::seconds(20), LimitBytes},
              [&](call_result New) { Result = std::move(New); });
    while (!Result)
      Loop.run_one();
    CHECK(std::holds_alternative<http_response>(*Result) ==
          (Size == LimitBytes));
  }
}

TEST_CASE("A connection is busy until its last response is sent") {
  asio::io_context Loop(1);
  echo_handler Handler;
  Handler.SendsConnectionClose = true;
  Handler.ResponseBody = std::string(32 << 20, 'x');
  std::uint16_t Port = 0;
  auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
  REQUIRE(Listener);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n"
                                               "\r\n")));
  while (Handler.Served == 0)
    Loop.run_one();
  // The response is far larger than the socket buffers.
  CHECK(Listener->busyCount() == 1);
}

TEST_CASE(
    "A planned stop closes no connection whose response is not sent yet") {
  asio::io_context Loop(1);
  echo_handler Handler;
  Handler.ResponseBody = std::string(32 << 20, 'x');
  std::uint16_t Port = 0;
  auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
  REQUIRE(Listener);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n"
                                               "\r\n")));
  while (Handler.Served == 0)
    Loop.run_one();
  Listener->closeIdle();
  CHECK(Listener->busyCount() == 1);
  std::size_t Received = 0;
  bool HasFailed = false;
  std::string Buffer(1 << 20, '\0');
  std::function<void()> Read = [&] {
    Socket.async_read_some(asio::buffer(Buffer),
                           [&](const asio::error_code &Code, std::size_t Size) {
                             Received += Size;
                             HasFailed = !!Code;
                             if (!Code)
                               Read();
                           });
  };
  Read();
  while (Received < Handler.ResponseBody.size() && !HasFailed)
    Loop.run_one();
  CHECK_FALSE(HasFailed);
  while (Listener->busyCount() > 0)
    Loop.run_one();
  Listener->closeIdle();
  CHECK(Listener->connectionCount() == 0);
}

TEST_CASE(
    "A connection with an incomplete head is closed after the header timeout") {
  asio::io_context Loop(1);
  echo_handler Handler;
  Handler.Limits.HeaderTimeout = milliseconds(50);
  Handler.Limits.IdleTimeout = std::chrono::hours(1);
  std::uint16_t Port = 0;
  auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
  REQUIRE(Listener);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  asio::write(Socket, asio::buffer(std::string("GET / HT")));
  std::string Response;
  bool IsClosed = false;
  asio::async_read(Socket, asio::dynamic_buffer(Response),
                   [&](const asio::error_code &Code, std::size_t) {
                     IsClosed = Code == asio::error::eof;
                   });
  while (!IsClosed)
    Loop.run_one();
  CHECK(Response.starts_with("HTTP/1.1 408 "));
  CHECK(Response.find("Connection: close\r\n") != std::string::npos);
  while (Listener->connectionCount() > 0)
    Loop.run_one();
}

TEST_CASE("A malformed request gets status 400 and closes the connection") {
  asio::io_context Loop(1);
  echo_handler Handler;
  std::uint16_t Port = 0;
  auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
  REQUIRE(Listener);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  asio::write(Socket, asio::buffer(std::string("GET /\n\nHost: x\r\n\r\n")));
  std::string Response(1000, '\0');
  std::size_t Size = 0;
  bool IsClosed = false;
  std::function<void()> Read = [&] {
    Socket.async_read_some(
        asio::buffer(Response.data() + Size, Response.size() - Size),
        [&](const asio::error_code &Code, std::size_t Added) {
          Size += Added;
          if (Code)
            IsClosed = true;
          else
            Read();
        });
  };
  Read();
  while (!IsClosed)
    Loop.run_one();
  CHECK(Response.starts_with("HTTP/1.1 400 "));
  CHECK(Handler.Rejected == 1);
}

TEST_CASE("A connection at rest is closed without a mention of a request") {
  asio::io_context Loop(1);
  echo_handler Handler;
  Handler.Limits.IdleTimeout = milliseconds(20);
  std::uint16_t Port = 0;
  auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
  REQUIRE(Listener);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  while (Handler.Closed.empty())
    Loop.run_one();
  CHECK(Handler.Closed[0].Reason == close_reason::IdleTimeout);
  CHECK(Handler.Closed[0].ArmedTimeout == milliseconds(20));
  CHECK_FALSE(Handler.Closed[0].hasUnansweredRequest());
}

TEST_CASE("The description of a closed connection tells what was read of a "
          "request") {
  asio::io_context Loop(1);
  echo_handler Handler;
  std::uint16_t Port = 0;
  auto Listener = listenOnFreePort(Loop, Handler, 10, Port);
  REQUIRE(Listener);
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  const std::string Head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n";
  asio::write(Socket, asio::buffer(Head + "half"));
  Loop.poll();
  Listener.reset();
  REQUIRE(Handler.Closed.size() == 1);
  CHECK(Handler.Closed[0].Reason == close_reason::Stop);
  CHECK(Handler.Closed[0].RequestBytes == Head.size() + 4);
  CHECK(Handler.Closed[0].hasUnansweredRequest());
}

TEST_CASE("A caller that shuts its sending side has left, but gets a response "
          "that is ready") {
  for (const bool IsReady : {true, false}) {
    CAPTURE(IsReady);
    connection_fixture Fixture;
    Fixture.Handler.HoldsRequests = !IsReady;
    test_caller Caller(Fixture);
    Caller.send(wholeRequest("x"));
    Caller.Socket.shutdown(asio::socket_base::shutdown_send);
    Caller.awaitClose();
    CHECK(Fixture.Handler.Served == 1);
    CHECK(Caller.Received.starts_with("HTTP/1.1 200 ") == IsReady);
    REQUIRE(Fixture.Handler.Closed.size() == 1);
    CHECK(Fixture.Handler.Closed[0].Reason == close_reason::ByCaller);
  }
}
