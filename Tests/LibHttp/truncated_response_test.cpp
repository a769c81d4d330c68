#include "fixed_response_server.h"

#include "LibHttp/pooled_http_transport.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                         "Content-Length: 2\r\n\r\n";
const std::string WholeResponse = Head + "ok";

http_request request() {
  http_request Request;
  Request.Path = "/x";
  return Request;
}

} // namespace

TEST_CASE("A response that is cut at any place is a failure") {
  for (std::size_t Size = 0; Size < WholeResponse.size(); ++Size) {
    CAPTURE(Size);
    fixed_response_server Server(WholeResponse.substr(0, Size));
    const auto Outcome = pooled_http_transport().send(
        Server.address(), request(), {}, connection_use::Fresh);
    REQUIRE(std::holds_alternative<http_failure>(Outcome));
    CHECK(std::get<http_failure>(Outcome).Delivery == delivery::MayHaveRun);
  }
}

TEST_CASE("A streamed response that is cut at any place does not look "
          "complete") {
  for (std::size_t Size = 0; Size < WholeResponse.size(); ++Size) {
    CAPTURE(Size);
    fixed_response_server Server(WholeResponse.substr(0, Size));
    pooled_http_transport Transport;
    const auto Opened = Transport.open(Server.address(), request(), {});
    CHECK(std::holds_alternative<http_failure>(Opened) == (Size < Head.size()));
    if (std::holds_alternative<http_failure>(Opened))
      continue;
    auto &Stream = *std::get<std::unique_ptr<http_stream>>(Opened);
    bool HasFailed = false;
    while (!HasFailed) {
      auto Part = Stream.next();
      HasFailed = std::holds_alternative<http_failure>(Part);
      if (!HasFailed)
        REQUIRE(std::get<std::optional<std::string>>(Part).has_value());
    }
    CHECK(HasFailed);
  }
}

TEST_CASE("A response that is whole as its connection closes is no failure") {
  fixed_response_server Server(WholeResponse);
  const auto Outcome = pooled_http_transport().send(Server.address(), request(),
                                                    {}, connection_use::Fresh);
  REQUIRE(std::holds_alternative<http_response>(Outcome));
  CHECK(std::get<http_response>(Outcome).Body == "ok");
}
