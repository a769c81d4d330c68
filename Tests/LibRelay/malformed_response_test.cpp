#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
const std::string Identity = "Id: r1\r\nSigned: x\r\n";
const std::string SoundBody = event(1) + event(2);
const std::string MalformedBody = event(1) + "id: 2\ndata: y\n\n";
const std::string Length =
    "Content-Length: " + std::to_string(MalformedBody.size()) + "\r\n";

/// Sends one request, which a first endpoint answers with the malformed bytes
/// before it closes the connection, and any other endpoint properly.
call_result sendBesideMalformed(relay_fixture &Vm, const std::string &Prefix,
                                route_kind Kind, const std::string &Malformed) {
  Vm.addRoute(Prefix, Kind);
  Vm.applyRoutes();
  Vm.setScript([&](std::size_t Number, const received_request &) {
    return Number == 0
               ? scripted_response{Malformed, after_response::Close}
               : scripted_response{wholeResponse(200, Identity, SoundBody)};
  });
  return Vm.sendRequest(Prefix);
}

/// Checks that no byte of the response reaches a caller: the request is retried
/// if it is idempotent, and fails otherwise.
void checkNotForwarded(const std::string &Malformed) {
  CAPTURE(Malformed);
  for (const auto Kind : {route_kind::Idempotent, route_kind::Stream}) {
    CAPTURE(static_cast<int>(Kind));
    relay_fixture Vm;
    const auto Result = sendBesideMalformed(Vm, "/many/", Kind, Malformed);
    CHECK(statusOf(Result) == 200);
    CHECK(bodyOf(Result) == SoundBody);
    CHECK(Vm.Received.size() == 2);
  }
  relay_fixture Vm;
  const auto Result =
      sendBesideMalformed(Vm, "/once/", route_kind::NonIdempotent, Malformed);
  CHECK(statusOf(Result) == 502);
  CHECK(bodyOf(Result).empty());
  CHECK(Vm.Received.size() == 1);
}

void checkFieldsNotForwarded(const std::vector<std::string> &Heads) {
  for (const std::string &Fields : Heads)
    checkNotForwarded(StatusLine + Identity + Fields + "\r\n" + MalformedBody);
}

} // namespace

TEST_CASE("A response with a malformed status line is not forwarded") {
  for (const char *Line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
        "HTTP/1.1  200 OK", "HTTP/2.0 200 OK"})
    checkNotForwarded(Line + ("\r\n" + Identity + Length) + "\r\n" +
                      MalformedBody);
}

TEST_CASE("A response whose head does not tell the length of its body in one "
          "way is not forwarded") {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  checkFieldsNotForwarded({
      "Transfer-Encoding: chunkd\r\n",
      "Transfer-Encoding: chunked, x\r\n",
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: x\r\n" + Length,
      Chunked + Length,
      Length + Chunked,
      "Content-Length: 3\r\n" + Length,
      "Content-Length:\r\n 3\r\n",
      "Content-Length: 3x\r\n",
      "Content-Length: -3\r\n",
      "Content-Length:\r\n",
      "Content-Length: 3\r\n\r",
  });
  const std::string ChunkedBody = "\r\n" + chunk(MalformedBody) + "0\r\n\r\n";
  checkNotForwarded("HTTP/1.0 200 OK\r\n" + Identity + Chunked + ChunkedBody);
  for (const std::string &Fields :
       {std::string("Transfer-Encoding: x, chunked\r\n"), Chunked + Chunked})
    checkNotForwarded(StatusLine + Identity + Fields + ChunkedBody);
}

TEST_CASE("A body of an interim response is not forwarded") {
  checkNotForwarded("HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\nx" +
                    StatusLine + Identity + Length + "\r\n" + MalformedBody);
}

TEST_CASE("A response whose head holds a line that is no field is not "
          "forwarded") {
  checkFieldsNotForwarded({
      "\r" + Length,
      " A: b\r\n" + Length,
      "A: b\r\n c\r\n" + Length,
      "A: b\n" + Length,
      "A\r\n" + Length,
      "Content-Length 3\r\n",
      ": b\r\n" + Length,
      "=\r\n" + Length,
  });
}

TEST_CASE("A response with a field whose name is no token is not forwarded") {
  checkFieldsNotForwarded({
      "A B: c\r\n" + Length,
      "A : b\r\n" + Length,
      "A\t: b\r\n" + Length,
      "A\x01: b\r\n" + Length,
      "A\x7f: b\r\n" + Length,
      "A\x80: b\r\n" + Length,
      "Content-Length : 3\r\n",
      "Content Length: 3\r\n",
      "Transfer Encoding: chunked\r\n",
  });
}

TEST_CASE("A response with a chunk that is longer than it says is not "
          "forwarded") {
  const std::string Head =
      StatusLine + Identity + "Transfer-Encoding: chunked\r\n\r\n";
  std::string Spoilt = chunk(MalformedBody);
  Spoilt.replace(Spoilt.size() - 2, 2, "xx");
  for (const std::string &Body :
       {Spoilt + "0\r\n\r\n", chunk(MalformedBody) + "0\rx\r\n",
        chunk(MalformedBody) + "0\r\n\rx",
        chunk(MalformedBody) + "0\r\nA B: c\r\n\r\n"})
    checkNotForwarded(Head + Body);
}
