#include "LibSocket/socket_options.h"

#include <netinet/tcp.h>

namespace azurehaven {

namespace {

/// Keep-alive probes without a response after which a connection is lost.
constexpr int UnansweredProbes = 2;

using user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Linux gives up on probes once TCP_USER_TIMEOUT has passed, whatever their
/// number (tcp(7)), so that a single lost packet could end a connection.
void raiseUserTimeout(asio::ip::tcp::socket &Socket,
                      std::chrono::seconds Minimum) {
  asio::error_code Ignored;
  user_timeout_option Timeout;
  Socket.get_option(Timeout, Ignored);
  const int MinimumMs = static_cast<int>(milliseconds(Minimum).count());
  if (Timeout.value() > 0 && Timeout.value() < MinimumMs)
    Socket.set_option(user_timeout_option(MinimumMs), Ignored);
}

} // namespace

void setConnectionOptions(asio::ip::tcp::socket &Socket,
                          milliseconds UserTimeout) {
  // Errors are ignored: without an option the connection works, but delays
  // small packets or detects a failure later.
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(user_timeout_option(static_cast<int>(UserTimeout.count())),
                    Ignored);
}

void setKeepAlive(asio::ip::tcp::socket &Socket, std::chrono::seconds Idle) {
  // As above, errors only delay the detection.
  asio::error_code Ignored;
  const int Seconds = static_cast<int>(Idle.count());
  using asio::detail::socket_option::integer;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(Seconds), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(Seconds), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(UnansweredProbes),
                    Ignored);
  raiseUserTimeout(Socket, Idle * (1 + UnansweredProbes));
}

void resetConnection(asio::ip::tcp::socket &Socket) {
  asio::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

asio::ip::tcp::endpoint socketAddress(const network_address &Address) {
  asio::error_code Code;
  return {asio::ip::make_address(Address.Host, Code), Address.Port};
}

} // namespace azurehaven
