#include "fixed_response_server.h"

#include "LibHttp/pooled_http_transport.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace azurehaven;

namespace {

/// More than the buffers of both sides of a connection hold.
constexpr std::size_t UploadBytes = 32 << 20;
constexpr int Repetitions = 5;

const std::string EarlyResponses[] = {
    "HTTP/1.1 200 OK\r\n\r\npart",
    "HTTP/1.0 200 OK\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart",
    "HTTP/1.1 000 OK\r\n\r\npart",
};

http_request requestOf(std::size_t BodyBytes) {
  http_request Request;
  Request.Method = "POST";
  Request.Path = "/x";
  Request.Body.assign(BodyBytes, 'x');
  return Request;
}

/// Whether the streamed response ends as a complete one.
bool isCompleteStream(const network_address &To, const http_request &Request) {
  pooled_http_transport Transport;
  const auto Opened = Transport.open(To, Request, {});
  if (std::holds_alternative<http_failure>(Opened))
    return false;
  auto &Stream = *std::get<std::unique_ptr<http_stream>>(Opened);
  while (true) {
    const auto Part = Stream.next();
    if (std::holds_alternative<http_failure>(Part))
      return false;
    if (!std::get<std::optional<std::string>>(Part))
      return true;
  }
}

} // namespace

// Guards against a part of a response that callers of the product's own path
// get as a whole one, because a reset is taken for the end of the connection.
TEST_CASE("A response that a reset ends early is not complete, during an "
          "upload or after the request") {
  // As the program does; the library does not ask for an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  for (const std::string &Bytes : EarlyResponses)
    for (const std::size_t BodyBytes : {std::size_t(0), UploadBytes})
      for (int Repetition = 0; Repetition < Repetitions; ++Repetition) {
        CAPTURE(Bytes);
        CAPTURE(BodyBytes);
        fixed_response_server Server(Bytes, connection_end::Reset);
        const http_request Request = requestOf(BodyBytes);
        CHECK(std::holds_alternative<http_failure>(pooled_http_transport().send(
            Server.address(), Request, {}, connection_use::Fresh)));
        CHECK_FALSE(isCompleteStream(Server.address(), Request));
      }
}
