#include "LibEntry/caller_api.h"
#include "chat_run_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr const char *Key = "key-1";

/// The response of another entry VM.
class peer_response : public http_stream {
public:
  peer_response(int Status, std::vector<std::string> Chunks,
                bool IsComplete = true)
      : Status(Status), Chunks(std::move(Chunks)), IsWhole(IsComplete) {}
  int status() const override { return Status; }
  const http_headers &headers() const override { return Headers; }
  std::variant<std::optional<std::string>, http_failure> next() override {
    if (Sent < Chunks.size())
      return std::optional(Chunks[Sent++]);
    if (!IsWhole)
      return http_failure{delivery::MayHaveRun, "cut"};
    return std::optional<std::string>();
  }

private:
  const int Status;
  const http_headers Headers{{"Content-Type", "text/event-stream"},
                             {"X-Model-Version", "m@1"}};
  const std::vector<std::string> Chunks;
  const bool IsWhole;
  std::size_t Sent = 0;
};

struct forwarding_fixture : chat_run_fixture {
  forwarding_fixture() : chat_run_fixture(2) {
    addPeers({vm_id("vm-b"), vm_id("vm-c"), vm_id("vm-d")});
    addKey(Key);
    Engines.Script = [](const std::string &) { return engine_script{1}; };
    Engines.PeerScript = [this](const network_address &To,
                                const http_request &Request) -> open_result {
      Forwarded.push_back(Request);
      return Response(To);
    };
  }
  served_response serve(const http_headers &Extra = {}) {
    served_request Request{"POST", "/v1/chat/completions", {}, {}, {}};
    Request.Headers = {{"Authorization", std::string("Bearer ") + Key},
                       {"X-Work-Class", "survey"}};
    Request.Headers.insert(Request.Headers.end(), Extra.begin(), Extra.end());
    Request.Body = R"({"messages":[{"role":"user","content":"x"}],)"
                   R"("stream":true})";
    return Api.serve(Request);
  }

  caller_api Api{Services};
  std::vector<http_request> Forwarded;
  std::function<open_result(const network_address &)> Response =
      [](const network_address &) -> open_result {
    return std::make_unique<peer_response>(
        200, std::vector<std::string>{"one", "two"});
  };
};

open_result refuseWith(const char *Run) {
  return std::make_unique<peer_response>(
      503, std::vector<std::string>{std::string(R"({"error":{"run":")") + Run +
                                    R"("}})"});
}

} // namespace

TEST_CASE("Callers of an entry VM that reaches no engine are served by another "
          "one") {
  forwarding_fixture Fixture;
  Fixture.losePath();
  auto Response = Fixture.serve();
  CHECK(Response.Status == 200);
  REQUIRE(Response.Source);
  CHECK(Response.Source->next() == "one");
  CHECK(Fixture.Api.requestsInFlight() == 1);
  CHECK(Response.Source->next() == "two");
  CHECK_FALSE(Response.Source->next());
  CHECK(Response.Source->isComplete());
  Response.Source.reset();
  CHECK(Fixture.Api.requestsInFlight() == 0);
  CHECK(headerValue(Response.Headers, "X-Model-Version") == "m@1");
  REQUIRE(Fixture.Forwarded.size() == 1);
  const http_headers &Fields = Fixture.Forwarded.front().Headers;
  CHECK(headerValue(Fields, "Authorization") == "Bearer key-1");
  CHECK(headerValue(Fields, "X-Work-Class") == "survey");
  CHECK_FALSE(headerValue(Fields, "X-Request-Id").empty());
  CHECK(Fixture.Engines.OpenedCount == 0);
}

TEST_CASE("An entry VM that reaches an engine forwards nothing") {
  forwarding_fixture Fixture;
  CHECK(Fixture.serve().Status == 200);
  CHECK(Fixture.Forwarded.empty());
  CHECK(Fixture.Engines.OpenedCount == 1);
}

TEST_CASE("A request that another entry VM has forwarded is not forwarded "
          "again") {
  forwarding_fixture Fixture;
  Fixture.losePath();
  Fixture.serve({{"X-Forwarded-By-Vm", "vm-b"}});
  CHECK(Fixture.Forwarded.empty());
}

TEST_CASE("A refusal of another entry VM that says not run leads to the next "
          "one, after two to the VM's own engines") {
  forwarding_fixture Fixture;
  Fixture.losePath();
  Fixture.Response = [](const network_address &) {
    return refuseWith("not_run");
  };
  Fixture.serve();
  CHECK(Fixture.Forwarded.size() == 2);
  // The polls may be outdated: the VM tries an engine itself.
  CHECK(Fixture.Engines.OpenedCount == 1);
}

TEST_CASE("A forwarded request that may have run is not sent again") {
  forwarding_fixture Fixture;
  Fixture.losePath();
  Fixture.Response = [](const network_address &) {
    return refuseWith("may_have_run");
  };
  CHECK(Fixture.serve().Status == 503);
  Fixture.Response = [](const network_address &) {
    return http_failure{delivery::MayHaveRun, "reset"};
  };
  const auto Failed = Fixture.serve();
  CHECK(Failed.Status == 502);
  CHECK(Failed.Body.find("may_have_run") != std::string::npos);
  CHECK(Fixture.Forwarded.size() == 2);
}

TEST_CASE("A response that breaks off at another entry VM does not look "
          "complete") {
  forwarding_fixture Fixture;
  Fixture.losePath();
  Fixture.Response = [](const network_address &) -> open_result {
    return std::make_unique<peer_response>(200, std::vector<std::string>{"one"},
                                           false);
  };
  auto Response = Fixture.serve();
  CHECK(Response.Source->next() == "one");
  CHECK_FALSE(Response.Source->next());
  CHECK_FALSE(Response.Source->isComplete());
}

TEST_CASE("An entry VM that reaches no engine takes none for crashed") {
  forwarding_fixture Fixture;
  Fixture.Engines.StatusScript = [](std::size_t) {
    return http_failure{delivery::NotSent, "timed out"};
  };
  Fixture.Engines.Script = [](const std::string &) {
    return engine_script{0, response_end::Cut};
  };
  for (const bool IsCut : {false, true}) {
    CAPTURE(IsCut);
    if (IsCut)
      Fixture.losePath();
    chat_request Request = Fixture.makeRequest({"system"});
    const std::uint64_t Fingerprint = Request.CrashFingerprint;
    crash_detector Crashes(Fixture.Services, Request);
    Crashes.onSent({endpoint_id("engine-0"), {"127.0.0.1", 1}});
    CHECK(Crashes.detectCrash() == !IsCut);
    CHECK((Fixture.Services.Router.crashStatusOf(Fingerprint) ==
           crash_status::Clear) == IsCut);
  }
}

TEST_CASE("Forwarded requests are spread over all other entry VMs") {
  forwarding_fixture Fixture;
  Fixture.losePath();
  std::map<std::uint16_t, int> ByPort;
  Fixture.Response = [&](const network_address &To) -> open_result {
    ++ByPort[To.Port];
    return std::make_unique<peer_response>(200, std::vector<std::string>{});
  };
  for (int Count = 0; Count < 60; ++Count)
    Fixture.serve();
  CHECK(ByPort.size() == 3);
  for (const auto &[Port, Count] : ByPort)
    CHECK(Count > 5);
}
