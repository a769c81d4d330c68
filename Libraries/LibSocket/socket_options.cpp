#include "LibSocket/socket_options.h"

#include <netinet/tcp.h>

namespace azurehaven {

void setConnectionOptions(asio::ip::tcp::socket &Socket,
                          milliseconds UserTimeout) {
  // Errors are ignored: without an option the connection works, but delays
  // small packets or detects a failure later.
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  using user_timeout_option =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(user_timeout_option(static_cast<int>(UserTimeout.count())),
                    Ignored);
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
