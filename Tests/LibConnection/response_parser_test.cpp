#include "LibConnection/response_parser.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("Bytes after a complete response are not consumed") {
  response_parser Parser;
  const std::string Response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  CHECK(Parser.consume(Response + "HTTP/1.1 200 OK\r\n") == Response.size());
  REQUIRE(Parser.isComplete());
  CHECK(Parser.takeBody() == "ab");
  CHECK(Parser.isKeptAlive());
}

TEST_CASE("A response without a length is complete only when the peer closes") {
  response_parser Parser;
  Parser.consume("HTTP/1.1 200 OK\r\n\r\nab");
  CHECK_FALSE(Parser.isComplete());
  CHECK(Parser.isHeadComplete());
  Parser.finish();
  CHECK(Parser.isComplete());
  CHECK_FALSE(Parser.isKeptAlive());
}

TEST_CASE("A truncated response is malformed") {
  for (const char *Bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\nContent"}) {
    CAPTURE(Bytes);
    response_parser Parser;
    Parser.consume(Bytes);
    Parser.finish();
    CHECK(Parser.isMalformed());
    CHECK_FALSE(Parser.isComplete());
  }
}

TEST_CASE("Interim responses are skipped") {
  response_parser Parser;
  Parser.consume("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n"
                 "A: b\r\n\r\n");
  REQUIRE(Parser.isComplete());
  CHECK(Parser.head().Status == 204);
  CHECK(headerValue(Parser.head().Headers, "A") == "b");
}

TEST_CASE("Bytes that are not HTTP are malformed") {
  response_parser Parser;
  Parser.consume("\x01\x02\x03 garbage");
  CHECK(Parser.isMalformed());
}
