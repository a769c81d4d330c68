#include "LibClient/request_trace.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace azurehaven;

namespace {

const char *const Log = R"(
{"at":"1","level":"WARN","vm":"a","event":"store_lost","reason":"reset"}
{"at":"2","level":"WARN","vm":"b","event":"store_lost","reason":"reset"}
{"at":"3","level":"INFO","vm":"a","event":"request_sent","request":"r1","endpoint":"e"}
no event
{"at":"4","level":"INFO","vm":"a","event":"request_sent","request":"r2"}
{"half":
2.5 a {"at":"5","level":"INFO","vm":"a","event":"store_regained"}
{"at":"6","level":"WARN","vm":"a","event":"request_finished","request":"r1","outcome":"deadline"}
{"at":"7","level":"INFO","vm":"a","event":"stopped"}
)";

std::string eventsOf(const char *Request) {
  std::istringstream Stream(Log);
  std::string Events;
  for (const auto &Event : readRequestTrace(Stream, request_id(Request)))
    Events += Event.At + Event.Event + " ";
  return Events;
}

} // namespace

TEST_CASE("A request trace has the request's events and the context events of "
          "its VM") {
  CHECK(eventsOf("r1") == "1store_lost 3request_sent 5store_regained "
                          "6request_finished ");
}

TEST_CASE("A request that no log line names has an empty trace") {
  CHECK(eventsOf("r9").empty());
}

TEST_CASE("Fields keep their order in the log line") {
  std::istringstream Stream(Log);
  const auto Trace = readRequestTrace(Stream, request_id("r1"));
  CHECK(formatRequestTrace(Trace).find(
            "6  a  request_finished  outcome=deadline\n") != std::string::npos);
}
