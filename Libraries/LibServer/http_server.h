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

/// A body produced part by part on the worker of its request.
class body_source {
public:
  /// Destroyed without having ended when the client has gone.
  virtual ~body_source() = default;
  /// The next part, or nullopt when there are no more.
  virtual std::optional<std::string> next() = 0;
  /// After next() gave nullopt: whether the body is whole. If it is not, the
  /// connection is closed without its end marker.
  virtual bool isComplete() const = 0;
};

struct served_response {
  int Status = 200;
  std::string ContentType = "application/json";
  http_headers Headers;
  std::string Body;
  /// The stable code of a refusal, for whoever counts them; else empty.
  std::string RefusalCode;
  /// If set, takes the place of Body.
  std::unique_ptr<body_source> Source;
};

using http_handler = std::function<served_response(const served_request &)>;

struct http_server_limits {
  /// Open connections; beyond it the one that is idle longest is closed.
  std::size_t Connections = 64;
  /// Requests whose handlers run at the same time; further ones wait.
  std::size_t Workers = 64;
  std::size_t BodyBytes = 1 << 20;
  /// How long a request's head may take from its first byte on.
  milliseconds HeadTimeout{10000};
  /// How long a connection may stay without a request, and a body without a
  /// further byte.
  milliseconds IdleTimeout{10000};
};

/// An HTTP listener for handlers that block: an event loop holds the
/// connections, a worker serves a request once all of it is there.
class http_server {
public:
  /// Returns Unavailable when the address can't be bound.
  static result<std::unique_ptr<http_server>>
  listen(const network_address &Address, const http_server_limits &Limits,
         http_handler Handler);
  virtual ~http_server() = default;

  /// Stops accepting, lets running requests end and their answers go out, and
  /// returns.
  virtual void stop() = 0;
};

} // namespace azurehaven
