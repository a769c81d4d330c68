#include "fixed_response_server.h"

#include "LibHttp/pooled_http_transport.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
const std::string Length = "Content-Length: 4\r\n";

const std::string MalformedHeads[] = {
    "HTTP/1.1 000 OK\r\n" + Length,
    "HTTP/1.1 600 OK\r\n" + Length,
    StatusLine + "A B: c\r\n" + Length,
    StatusLine + "A : b\r\n" + Length,
    StatusLine + "A\x01: b\r\n" + Length,
    StatusLine + "Content-Length : 2\r\n",
    StatusLine + "Content-Length: 2x\r\n",
    StatusLine + "Content-Length: -2\r\n",
    StatusLine + "Content-Length: x\r\n",
    StatusLine + "Content-Length: 2\r\n" + Length,
    StatusLine + "Transfer-Encoding: chunkd\r\n",
    StatusLine + "Transfer-Encoding: chunked\r\n" + Length,
};

/// Whether the outcome is the failure of a request that may have run.
template <typename Outcome> bool mayHaveRun(const Outcome &Result) {
  const auto *Failure = std::get_if<http_failure>(&Result);
  return Failure && Failure->Delivery == delivery::MayHaveRun;
}

} // namespace

TEST_CASE("A response with a malformed head is a failure") {
  for (const std::string &Head : MalformedHeads) {
    CAPTURE(Head);
    fixed_response_server Server(Head + "\r\nbody");
    CHECK(mayHaveRun(pooled_http_transport().send(
        Server.address(), http_request(), {}, connection_use::Fresh)));
    CHECK(mayHaveRun(
        pooled_http_transport().open(Server.address(), http_request(), {})));
  }
}
