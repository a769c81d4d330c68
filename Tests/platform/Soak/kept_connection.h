#pragma once

#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace azurehaven::platform {

/// What a caller saw of one request on its connection.
struct kept_exchange {
  /// HTTP status; 0 if no head of a response was received.
  int Status = 0;
  /// The received part of the body.
  std::string Body;
  /// Whether the response was received to its proper end.
  bool IsWhole = false;
  /// Whether the socket accepted every byte of the request.
  bool IsSentWhole = false;
  /// Whether the caller stopped waiting, rather than the other side.
  bool HasCallerLeft = false;
  /// Whether the connection can carry another request.
  bool IsReusable = false;
};

/// One connection of a caller over a raw socket. Blocking; not thread-safe.
class kept_connection {
public:
  /// Returns nullptr if no connection is established in time.
  static std::unique_ptr<kept_connection> connect(const network_address &To,
                                                  milliseconds Timeout);
  /// Whether the other side has closed the connection or sent bytes that no
  /// request asked for.
  bool isUnusable();
  kept_exchange exchange(const std::string &Request, steady_time GiveUpAt);

private:
  kept_connection() : Socket(Loop) {}
  void runUntil(steady_time GiveUpAt);

  asio::io_context Loop{1};
  asio::ip::tcp::socket Socket;
};

} // namespace azurehaven::platform
