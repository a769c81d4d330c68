#include "LibHttp/pooled_http_transport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace azurehaven;

namespace {

using asio::ip::tcp;

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                         "Content-Length: 2\r\n\r\n";
const std::string WholeResponse = Head + "ok";

/// A server that responds to each request with the same bytes and closes the
/// connection, as one that ends in the middle of its response.
class truncating_server {
public:
  explicit truncating_server(std::string Bytes)
      : Bytes(std::move(Bytes)),
        Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { serve(); }) {}
  ~truncating_server() {
    // A last connection ends the wait for the next one.
    IsStopping = true;
    tcp::socket Last(Loop);
    asio::error_code Ignored;
    Last.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  network_address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  void serve() {
    while (true) {
      tcp::socket Socket = Acceptor.accept();
      if (IsStopping)
        return;
      std::string Request;
      asio::error_code Ignored;
      asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                       Ignored);
      asio::write(Socket, asio::buffer(Bytes), Ignored);
    }
  }

  const std::string Bytes;
  asio::io_context Loop;
  tcp::acceptor Acceptor;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

http_request request() {
  http_request Request;
  Request.Path = "/x";
  return Request;
}

} // namespace

TEST_CASE("A response that is cut at any place is a failure") {
  for (std::size_t Size = 0; Size < WholeResponse.size(); ++Size) {
    CAPTURE(Size);
    truncating_server Server(WholeResponse.substr(0, Size));
    const auto Outcome = pooled_http_transport().send(
        Server.address(), request(), {}, connection_use::Fresh);
    REQUIRE(std::holds_alternative<http_failure>(Outcome));
    CHECK(std::get<http_failure>(Outcome).Delivery == delivery::MayHaveRun);
  }
}

TEST_CASE("A streamed response that is cut at any place does not look "
          "complete") {
  for (std::size_t Size = 0; Size < WholeResponse.size(); ++Size) {
    CAPTURE(Size);
    truncating_server Server(WholeResponse.substr(0, Size));
    pooled_http_transport Transport;
    const auto Opened = Transport.open(Server.address(), request(), {});
    CHECK(std::holds_alternative<http_failure>(Opened) == (Size < Head.size()));
    if (std::holds_alternative<http_failure>(Opened))
      continue;
    auto &Stream = *std::get<std::unique_ptr<http_stream>>(Opened);
    bool HasFailed = false;
    while (!HasFailed) {
      auto Part = Stream.next();
      HasFailed = std::holds_alternative<http_failure>(Part);
      if (!HasFailed)
        REQUIRE(std::get<std::optional<std::string>>(Part).has_value());
    }
    CHECK(HasFailed);
  }
}

TEST_CASE("A response that is whole as its connection closes is no failure") {
  truncating_server Server(WholeResponse);
  const auto Outcome = pooled_http_transport().send(Server.address(), request(),
                                                    {}, connection_use::Fresh);
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body == "ok");
}
