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

TEST_CASE("A user timeout does not end a connection before its last probe") {
  using user_timeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  asio::io_context Loop{1};
  for (const int SetMs : {1500, 8000}) {
    CAPTURE(SetMs);
    asio::ip::tcp::socket Socket(Loop, asio::ip::tcp::v4());
    setConnectionOptions(Socket, milliseconds(SetMs));
    setKeepAlive(Socket, std::chrono::seconds(1));
    using asio::detail::socket_option::integer;
    integer<IPPROTO_TCP, TCP_KEEPCNT> Probes;
    Socket.get_option(Probes);
    user_timeout Timeout;
    Socket.get_option(Timeout);
    CHECK(Timeout.value() >= 1000 * (1 + Probes.value()));
    CHECK(Timeout.value() >= SetMs);
  }
}
