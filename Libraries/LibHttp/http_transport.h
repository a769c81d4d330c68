#pragma once

#include "LibHttp/http_message.h"
#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <memory>
#include <optional>
#include <variant>

namespace azurehaven {

struct http_timeouts {
  milliseconds Connect{1000};
  /// Bound on each wait for further bytes.
  milliseconds Read{10000};
};

/// Whether a request may go over a connection that served others before. A
/// pooled connection may be closed by the other side just as it is used, which
/// leaves it open whether the request ran.
enum class connection_use { Pooled, Fresh };

/// The body of one answer, pulled part by part. Not thread-safe.
class http_stream {
public:
  virtual ~http_stream() = default;

  virtual int status() const = 0;
  virtual const http_headers &headers() const = 0;
  /// The next part; nullopt at the proper end; a failure when it was cut.
  virtual std::variant<std::optional<std::string>, http_failure> next() = 0;
};

using send_result = std::variant<http_response, http_failure>;
using open_result = std::variant<std::unique_ptr<http_stream>, http_failure>;

/// Sends requests to other processes. Calls block; thread-safe.
class http_transport {
public:
  virtual ~http_transport() = default;

  virtual send_result send(const network_address &To,
                           const http_request &Request,
                           const http_timeouts &Timeouts,
                           connection_use Use) = 0;

  /// Returns once the answer's head is here. Destroying the stream early
  /// closes the connection, which tells the other side to cancel.
  virtual open_result open(const network_address &To,
                           const http_request &Request,
                           const http_timeouts &Timeouts) = 0;
};

} // namespace azurehaven
