#include "LibConnection/request_parser.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

caller_limits smallLimits() {
  caller_limits Limits;
  Limits.HeaderBytes = 200;
  Limits.BodyBytes = 20;
  return Limits;
}

request_parse_error parseErrorOf(const std::string &Bytes) {
  request_parser Parser(smallLimits());
  Parser.consume(Bytes);
  return Parser.parseError();
}

} // namespace

TEST_CASE("Parsing stops at the end of a request and leaves the next one") {
  request_parser Parser(smallLimits());
  const std::string First =
      "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  const std::string Both = First + "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  CHECK(Parser.consume(Both) == First.size());
  REQUIRE(Parser.isComplete());
  CHECK(Parser.head().Method == "POST");
  CHECK(Parser.head().Target == "/a/b?c");
  CHECK(Parser.body() == "abc");
  Parser.reset();
  Parser.consume(std::string_view(Both).substr(First.size()));
  REQUIRE(Parser.isComplete());
  CHECK(Parser.head().Target == "/");
}

TEST_CASE("A request that arrives byte by byte is parsed completely") {
  request_parser Parser(smallLimits());
  const std::string Bytes = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (const char Byte : Bytes)
    CHECK(Parser.consume(std::string(1, Byte)) == 1);
  REQUIRE(Parser.isComplete());
  CHECK(Parser.body() == "abc");
  CHECK(headerValue(Parser.head().Headers, "host") == "h");
}

TEST_CASE(
    "Requests that two implementations may parse differently are malformed") {
  for (const char *Bytes : {
           "GET / HTTP/1.1\nHost: h\n\n",
           "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
           "GET / HTTP/1.1\r\n\r\n",
           "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
           "Content-Length: 2\r\n\r\nab",
           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\na",
           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, "
           "identity\r\n\r\n0\r\n\r\n",
           "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: h\r\nA\x80: b\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n",
           "GET / HTTP/1.1\r\nHost: h\r\nA\r\n\r\n",
           "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
           "nonsense\r\n\r\n",
       }) {
    CAPTURE(Bytes);
    CHECK(parseErrorOf(Bytes) == request_parse_error::Malformed);
  }
}

TEST_CASE("Heads and bodies beyond the limits are rejected at once") {
  CHECK(parseErrorOf("GET / HTTP/1.1\r\nHost: h\r\nA: " +
                     std::string(300, 'x')) ==
        request_parse_error::HeadTooLarge);
  CHECK(parseErrorOf(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n") ==
        request_parse_error::BodyTooLarge);
  CHECK(parseErrorOf(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            "\r\n15\r\n" +
            std::string(21, 'x')) == request_parse_error::BodyTooLarge);
}
