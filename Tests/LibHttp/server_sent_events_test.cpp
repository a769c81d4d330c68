#include "LibHttp/percent_encoding.h"
#include "LibHttp/server_sent_events.h"

#include <doctest/doctest.h>

#include <random>

using namespace azurehaven;

TEST_CASE("events are parsed however the stream is split") {
  const std::string Stream = ": comment\n\ndata: one\n\ndata: two\r\n\r\n"
                             "data: three\ndata: more\n\nevent: x\n\n";
  std::mt19937 Random(1);
  for (int Round = 0; Round < 200; ++Round) {
    event_stream_parser Parser;
    std::vector<std::string> Events;
    for (std::size_t At = 0; At < Stream.size();) {
      const std::size_t Length = 1 + Random() % 7;
      REQUIRE(Parser.add(std::string_view(Stream).substr(At, Length)));
      At += Length;
      while (auto Event = Parser.next())
        Events.push_back(*Event);
    }
    CHECK(Events == std::vector<std::string>{"one", "two", "three\nmore"});
  }
}

TEST_CASE("an unterminated event is rejected beyond the size limit") {
  event_stream_parser Parser(100);
  CHECK(Parser.add(std::string(100, 'x')));
  CHECK_FALSE(Parser.add("x"));
}

TEST_CASE("reserved characters are encoded") {
  CHECK(percentEncode("a/b c\xc3\xa9-_.~") == "a%2Fb%20c%C3%A9-_.~");
}
