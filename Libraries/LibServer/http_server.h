#pragma once

#include "LibHttp/http_message.h"
#include "LibTypes/network_address.h"
#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace azurehaven {

struct served_request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  http_headers Headers;
  std::string Body;
};

/// Produces a response body chunk by chunk on the worker thread of its request.
class body_source {
public:
  /// Also called before the end of the body if the caller has disconnected.
  virtual ~body_source() = default;
  /// Returns the next chunk, or nullopt at the end of the body.
  virtual std::optional<std::string> next() = 0;
  /// After next() returned nullopt: whether the body is complete. If it is not,
  /// the connection is closed without the last chunk that marks its end.
  virtual bool isComplete() const = 0;
};

struct served_response {
  int Status = 200;
  std::string ContentType = "application/json";
  http_headers Headers;
  std::string Body;
  /// Stable error code of a refused request, for the metrics; else empty.
  std::string RefusalCode;
  /// If set, replaces Body.
  std::unique_ptr<body_source> Source;
};

using http_handler = std::function<served_response(const served_request &)>;

struct http_server_limits {
  /// Open connections; at the limit the oldest one at rest is closed for a new
  /// one, else the oldest with an incomplete request, which is answered 408;
  /// without either the new one is refused.
  std::size_t Connections = 64;
  /// Handlers that run at the same time; further requests are queued.
  std::size_t Workers = 64;
  std::size_t BodyBytes = 1 << 20;
  /// Longest time from the first byte of a request head to its end.
  milliseconds HeadTimeout{10000};
  /// Longest time between two requests of a connection, and between received
  /// bytes of a body.
  milliseconds IdleTimeout{10000};
};

/// An HTTP server for handlers that block: an event loop owns the connections,
/// a worker thread runs the handler once the request is complete.
class http_server {
public:
  /// Returns Unavailable when the address can't be bound.
  static result<std::unique_ptr<http_server>>
  listen(const network_address &Address, const http_server_limits &Limits,
         http_handler Handler);
  virtual ~http_server() = default;

  /// Stops accepting connections and returns once the running requests have
  /// ended and their responses are sent. Incomplete requests are answered 408.
  virtual void stop() = 0;
};

} // namespace azurehaven
