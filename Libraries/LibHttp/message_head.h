#pragma once

#include "LibHttp/http_message.h"

#include <string>

namespace azurehaven {

/// Request line and header fields of one HTTP/1.1 request.
struct request_head {
  std::string Method;
  /// Origin form: path and query as sent.
  std::string Target;
  http_headers Headers;
  bool KeepAlive = true;
};

/// Status and header fields of one HTTP/1.1 response.
struct response_head {
  int Status = 0;
  http_headers Headers;
};

/// Whether the response has neither a length nor chunks, so that its body ends
/// with the connection. Source: RFC 9112, section 6.3.
bool isEndedByClose(const response_head &Head);

/// Whether a header field is never forwarded: it applies to one connection
/// only, or is Content-Length or Expect, which each connection handles itself.
/// Source: RFC 9110, section 7.6.1.
bool isConnectionField(const std::string &Name, const http_headers &Headers);

} // namespace azurehaven
