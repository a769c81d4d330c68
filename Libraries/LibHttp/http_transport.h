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
  /// Applies to each wait to receive or send further bytes.
  milliseconds Read{10000};
};

/// Whether a request may use a pooled connection or needs a new one. The peer
/// may close a pooled connection just as it is reused; the sender can't tell
/// then whether the request was executed.
enum class connection_use { Pooled, Fresh };

/// A response whose body is read chunk by chunk. Not thread-safe.
class http_stream {
public:
  virtual ~http_stream() = default;

  virtual int status() const = 0;
  virtual const http_headers &headers() const = 0;
  /// Blocks until the next chunk. Returns nullopt at the end of a complete body
  /// and a failure if the body was truncated.
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

  /// Returns once the response head has arrived. Destroying the stream before
  /// the end of the body closes the connection, so that the peer can cancel the
  /// request.
  virtual open_result open(const network_address &To,
                           const http_request &Request,
                           const http_timeouts &Timeouts) = 0;
};

} // namespace azurehaven
