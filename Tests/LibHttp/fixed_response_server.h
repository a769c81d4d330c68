#pragma once

#include "LibTypes/network_address.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace azurehaven {

/// How a server ends its connections.
enum class connection_end { Closed, Reset };

/// Responds to each request with the same bytes as soon as it has read the
/// head, and ends the connection, as a server that ends in the middle of its
/// response or sends a malformed one.
class fixed_response_server {
public:
  explicit fixed_response_server(std::string Bytes,
                                 connection_end End = connection_end::Closed)
      : Bytes(std::move(Bytes)), End(End),
        Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { serve(); }) {}
  ~fixed_response_server() {
    // A last connection ends the wait for the next one.
    IsStopping = true;
    asio::ip::tcp::socket Last(Loop);
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
      asio::ip::tcp::socket Socket = Acceptor.accept();
      if (IsStopping)
        return;
      std::string Request;
      asio::error_code Ignored;
      asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                       Ignored);
      asio::write(Socket, asio::buffer(Bytes), Ignored);
      if (End == connection_end::Reset)
        Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    }
  }

  const std::string Bytes;
  const connection_end End;
  asio::io_context Loop;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> IsStopping = false;
  std::thread Thread;
};

} // namespace azurehaven
