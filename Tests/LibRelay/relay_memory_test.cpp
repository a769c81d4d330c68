#include "LibRelay/relay_memory.h"

#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
const std::string Good = "Id: r1\r\nSigned: x\r\n";
constexpr std::size_t LargeBytes = 1 << 20;

struct memory_fixture : relay_fixture {
  memory_fixture() {
    addRoute("/p/", route_kind::NonIdempotent);
    applyRoutes();
  }
  /// Leaves nothing of what the connections may buffer.
  void exhaust() {
    memory_budget &Memory = Context.Memory.ofCallers();
    Memory.reserve(Memory.limit());
  }
};

} // namespace

TEST_CASE("What connections may buffer follows from the VM's memory") {
  relay_memory Memory(std::size_t{200} << 20);
  CHECK(Memory.ofCallers().limit() == std::size_t{100} << 20);
  CHECK(Memory.ofResponses().limit() == std::size_t{50} << 20);
}

TEST_CASE("Responses of one endpoint leave room for those of another") {
  relay_memory Memory;
  const auto First = Memory.ofEndpoint(endpoint_id("e0"));
  const auto Second = Memory.ofEndpoint(endpoint_id("e1"));
  while (First->tryReserve(LargeBytes))
    ;
  CHECK(First->used() > 0);
  CHECK(Second->tryReserve(LargeBytes));
  CHECK(Memory.ofEndpoint(endpoint_id("e0")) == First);
}

TEST_CASE("Bodies without end of one endpoint end no response of another") {
  memory_fixture Fixture;
  const std::string Body(LargeBytes, 'y');
  Fixture.setScript([&](std::size_t, const received_request &Request) {
    if (Request.Endpoint == "e0")
      return scripted_response{ChunkedHead, after_response::Keep,
                               milliseconds(0), chunk(std::string(65536, 'x'))};
    return scripted_response{wholeResponse(200, Good, Body)};
  });
  constexpr std::size_t Requests = 30;
  std::size_t Ended = 0;
  std::size_t Whole = 0;
  std::vector<std::shared_ptr<endpoint_connection>> Connections;
  for (std::size_t Index = 0; Index < Requests; ++Index)
    Connections.push_back(Fixture.startRequest("/p/", [&](call_result Result) {
      ++Ended;
      Whole += bodyOf(Result) == Body;
    }));
  Fixture.runUntil([&] { return Ended == Requests; });
  const auto OfSecond = static_cast<std::size_t>(
      std::count_if(Fixture.Received.begin(), Fixture.Received.end(),
                    [](const auto &Each) { return Each.Endpoint == "e1"; }));
  CHECK(OfSecond > 0);
  CHECK(Whole == OfSecond);
}

TEST_CASE("A large request is refused as not run while there is no memory, a "
          "small one is served") {
  memory_fixture Fixture;
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, Good, "done")};
  });
  Fixture.exhaust();
  const auto Refused = Fixture.sendRequest("/p/", {}, std::string(200000, 'b'));
  CHECK(statusOf(Refused) == 503);
  CHECK(Fixture.Received.empty());
  REQUIRE(std::holds_alternative<http_response>(Refused));
  CHECK_FALSE(
      headerValue(std::get<http_response>(Refused).Headers, "Retry-After")
          .empty());
  CHECK(statusOf(Fixture.sendRequest("/p/", {}, "b")) == 200);
}

TEST_CASE("What a request takes is given back once it is answered") {
  memory_fixture Fixture;
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(200, Good, std::string(9999, 'y'))};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/", {}, std::string(200000, 'b'))) ==
        200);
  Fixture.runUntil([&] { return Fixture.Context.Memory.used() == 0; });
  CHECK(Fixture.Context.Memory.used() == 0);
}
