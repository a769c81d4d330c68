#include "LibConnection/single_call.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace azurehaven;
using asio::ip::tcp;

namespace {

/// More than the buffers of both sides of a connection hold.
constexpr std::size_t UploadBytes = 32 << 20;

/// Reads the beginning of one request, sends the bytes and closes the
/// connection, with a reset or without.
class early_server {
public:
  early_server(asio::io_context &Loop, std::string Bytes, bool Resets)
      : Bytes(std::move(Bytes)), Resets(Resets),
        Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}), Socket(Loop),
        Timer(Loop) {
    Acceptor.async_accept(Socket, [this](const asio::error_code &Code) {
      REQUIRE(!Code);
      read();
    });
  }

  network_address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  /// Time between the response and the end of the connection.
  milliseconds Pause{0};

private:
  void read() {
    Socket.async_read_some(asio::buffer(Buffer),
                           [this](const asio::error_code &Code, std::size_t) {
                             REQUIRE(!Code);
                             asio::write(Socket, asio::buffer(Bytes));
                             Timer.expires_after(Pause);
                             Timer.async_wait(
                                 [this](const asio::error_code &) { close(); });
                           });
  }

  void close() {
    if (Resets)
      Socket.set_option(asio::socket_base::linger(true, 0));
    else
      Socket.shutdown(asio::socket_base::shutdown_send);
    if (Resets)
      Socket.close();
  }

  const std::string Bytes;
  const bool Resets;
  tcp::acceptor Acceptor;
  tcp::socket Socket;
  asio::steady_timer Timer;
  std::array<char, 1024> Buffer{};
};

/// Uploads a long body and returns the result.
call_result upload(asio::io_context &Loop, const early_server &Server) {
  std::optional<call_result> Result;
  startCall(
      std::make_shared<endpoint_connection>(
          Loop.get_executor(), Server.address(), connection_timeouts{}),
      formatCall("POST", "/", Server.address(), std::string(UploadBytes, 'x')),
      std::chrono::seconds(20),
      [&](call_result New) { Result = std::move(New); });
  while (!Result)
    Loop.run_one();
  return *Result;
}

const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string Framed = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";

} // namespace

TEST_CASE("A response without a length that a reset ends while the request is "
          "still being sent is not complete") {
  for (const int PauseMs : {0, 50}) {
    CAPTURE(PauseMs);
    asio::io_context Loop;
    early_server Server(Loop, Unframed, true);
    Server.Pause = milliseconds(PauseMs);
    CHECK(std::holds_alternative<http_failure>(upload(Loop, Server)));
  }
}

TEST_CASE("A response that is whole before a reset is complete, though the "
          "request is still being sent") {
  asio::io_context Loop;
  early_server Server(Loop, Framed, true);
  Server.Pause = milliseconds(50);
  const auto Result = upload(Loop, Server);
  REQUIRE(std::holds_alternative<http_response>(Result));
  CHECK(std::get<http_response>(Result).Body == "part");
}

TEST_CASE("A response without a length is complete as the connection ends in "
          "order, though the request is still being sent") {
  asio::io_context Loop;
  early_server Server(Loop, Unframed, false);
  const auto Result = upload(Loop, Server);
  REQUIRE(std::holds_alternative<http_response>(Result));
  CHECK(std::get<http_response>(Result).Body == "part");
}
