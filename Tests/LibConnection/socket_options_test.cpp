#include "LibSocket/socket_options.h"

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <netinet/tcp.h>

using namespace azurehaven;

TEST_CASE("An idle connection is probed after the given time") {
  asio::io_context Loop{1};
  asio::ip::tcp::acceptor Acceptor(Loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::tcp::socket Socket(Loop);
  Socket.connect(Acceptor.local_endpoint());
  setKeepAlive(Socket, std::chrono::seconds(1));
  asio::socket_base::keep_alive IsOn;
  Socket.get_option(IsOn);
  CHECK(IsOn.value());
  using asio::detail::socket_option::integer;
  integer<IPPROTO_TCP, TCP_KEEPIDLE> Idle;
  Socket.get_option(Idle);
  CHECK(Idle.value() == 1);
  integer<IPPROTO_TCP, TCP_KEEPINTVL> Interval;
  Socket.get_option(Interval);
  CHECK(Interval.value() == 1);
}
