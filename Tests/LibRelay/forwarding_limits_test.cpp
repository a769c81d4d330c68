#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

scripted_response sendCompleteResponse(std::size_t, const received_request &) {
  return {wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
}

void setSmallLimits(relay_fixture &Fixture) {
  Fixture.Content.Limits.HeaderBytes = 300;
  Fixture.Content.Limits.BodyBytes = 100;
  Fixture.Content.Limits.IdleTimeout = milliseconds(200);
  Fixture.applyRoutes();
}

/// Sends a request as another VM does, with the fields that forwarding adds.
call_result forward(relay_fixture &Fixture, const std::string &Fields,
                    const std::string &Body) {
  auto Connection = std::make_shared<endpoint_connection>(
      Fixture.Loop.get_executor(), Fixture.ForwardingAddress,
      connection_timeouts{});
  outgoing_request Request;
  Request.Head = "POST /p/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n" + Fields +
                 "Deadline: 5000\r\nFrom-Vm: vm-2\r\nRuns: 0\r\n"
                 "Allowed-Runs: 3\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n";
  Request.Body = std::make_shared<const std::string>(Body);
  std::optional<call_result> Completed;
  startCall(Connection, Request, std::chrono::seconds(30),
            [&](call_result Result) { Completed = std::move(Result); });
  Fixture.runUntil([&] { return Completed.has_value(); });
  Connection->abort();
  return *Completed;
}

} // namespace

TEST_CASE("A VM keeps the connections of other VMs for longer than these reuse "
          "them, whatever the limit of callers") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  setSmallLimits(Fixture);
  CHECK(Fixture.Relay.limits().IdleTimeout == milliseconds(200));
  CHECK(Fixture.ForwardingRelay.limits().IdleTimeout >=
        2 * decoded_response_head().IdleLimit);
}

TEST_CASE("A forwarded request is not judged by the size limits of callers") {
  relay_fixture Fixture;
  Fixture.setScript(sendCompleteResponse);
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  setSmallLimits(Fixture);
  const std::string Fields = "A: " + std::string(230, 'x') + "\r\n";
  CHECK(statusOf(forward(Fixture, Fields, {})) == 200);
  CHECK(statusOf(forward(Fixture, {}, std::string(200, 'x'))) == 200);
  CHECK(statusOf(Fixture.sendRequest("/p/", {}, std::string(200, 'x'))) == 413);
}
