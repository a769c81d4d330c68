#include "LibDispatch/event_splicer.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("Only complete events are forwarded") {
  event_splicer Splicer(std::nullopt);
  CHECK(Splicer.add("id: 1\ndata: a") == "");
  CHECK(Splicer.hasPartialEvent());
  CHECK(Splicer.add("\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Splicer.lastEventId() == 1);
  CHECK(Splicer.add("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK_FALSE(Splicer.hasPartialEvent());
  CHECK(Splicer.eventCount() == 2);
}

TEST_CASE("A second source continues without missing or duplicate events") {
  event_splicer Splicer(std::nullopt);
  Splicer.add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c");
  Splicer.startNextSource();
  CHECK_FALSE(Splicer.hasPartialEvent());
  CHECK(Splicer.lastEventId() == 2);
  CHECK(Splicer.add("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") ==
        "id: 3\ndata: c\n\n");
}

TEST_CASE("Events that the caller already has are not sent again") {
  event_splicer Splicer(5);
  CHECK(Splicer.add("id: 5\ndata: a\n\nid: 6\ndata: b\n\n") ==
        "id: 6\ndata: b\n\n");
}

TEST_CASE("Lines may end in CR LF") {
  event_splicer Splicer(std::nullopt);
  CHECK(Splicer.add("id: 1\r\ndata: a\r\n\r\n") == "id: 1\r\ndata: a\r\n\r\n");
  CHECK(Splicer.lastEventId() == 1);
}

TEST_CASE("An event above the size limit does not spoil the next source") {
  event_splicer Splicer(std::nullopt, 16);
  Splicer.add("id: 1\n\n" + std::string(100, 'x'));
  Splicer.startNextSource();
  CHECK(Splicer.add("id: 1\n\nid: 2\n\n") == "id: 2\n\n");
  CHECK_FALSE(Splicer.hasOversizedEvent());
}

TEST_CASE("An event above the size limit is reported") {
  event_splicer Splicer(std::nullopt, 100);
  Splicer.add(std::string(101, 'x'));
  CHECK(Splicer.hasOversizedEvent());
}
