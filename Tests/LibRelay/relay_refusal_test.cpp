#include "relay_fixture.h"

#include "LibDispatch/endpoint_health.h"
#include "LibTypes/fingerprint.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

scripted_response sendCompleteResponse(std::size_t, const received_request &) {
  return {wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
}

} // namespace

TEST_CASE("A VM without a configuration refuses with a Retry-After") {
  relay_fixture Fixture;
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 503);
  CHECK_FALSE(fieldOf(Response, "Retry-After").empty());
}

TEST_CASE("404 and 401 are sent only with a current configuration") {
  relay_fixture Fixture;
  Fixture.setScript(sendCompleteResponse);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.addRoute("/open/", route_kind::Idempotent).IsPublic = true;
  Fixture.Content.NeedsKeys = true;
  Fixture.Content.AccountsByKey["k"] = {client_account_id("a"), std::nullopt};
  Fixture.applyRoutes();
  CHECK(statusOf(Fixture.sendRequest("/p/", "Key: k\r\n")) == 200);
  CHECK(statusOf(Fixture.sendRequest("/open/")) == 200);
  CHECK(statusOf(Fixture.sendRequest("/p/", "Key: other\r\n")) == 401);
  CHECK(statusOf(Fixture.sendRequest("/none/", "Key: k\r\n")) == 404);

  Fixture.Fleet.Confirmation = configuration_confirmation(milliseconds(5000));
  CHECK(statusOf(Fixture.sendRequest("/p/", "Key: k\r\n")) == 503);
  CHECK(statusOf(Fixture.sendRequest("/p/", "Key: other\r\n")) == 503);
  CHECK(statusOf(Fixture.sendRequest("/none/", "Key: k\r\n")) == 503);
  CHECK(statusOf(Fixture.sendRequest("/open/")) == 200);
}

TEST_CASE("A request without a usable endpoint is refused at once") {
  relay_fixture Fixture(0);
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  const auto Response = Fixture.sendRequest("/p/");
  CHECK(statusOf(Response) == 503);
  CHECK_FALSE(fieldOf(Response, "Retry-After").empty());
}

TEST_CASE("A leaving endpoint gets no new requests") {
  relay_fixture Fixture;
  Fixture.setScript(sendCompleteResponse);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.Fleet.Endpoints.find(endpoint_id("e0"))->Descriptor.IsLeaving = true;
  for (int Index = 0; Index < 5; ++Index)
    CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  for (const auto &Request : Fixture.Received)
    CHECK(Request.Endpoint == "e1");
}

TEST_CASE("A request that gets a response between crashes is not quarantined") {
  constexpr std::size_t Rounds = 5;
  // More endpoints than rounds, so that each round has a healthy one left.
  relay_fixture Fixture(2 * Rounds);
  Fixture.addRoute("/p/", route_kind::Idempotent).MaxAttempts = 1;
  Fixture.applyRoutes();
  // A frequent request repeatedly reaches endpoints that fail for other
  // reasons.
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    Fixture.setScript([](std::size_t, const received_request &) {
      return scripted_response{{}, after_response::Reset};
    });
    CHECK(statusOf(Fixture.sendRequest("/p/popular")) == 502);
    Fixture.setScript([](std::size_t, const received_request &) {
      return scripted_response{
          wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
    });
    CHECK(statusOf(Fixture.sendRequest("/p/popular")) == 200);
  }
}

TEST_CASE("A request is quarantined after crashing three endpoints") {
  relay_fixture Fixture(5);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{"", after_response::Reset};
  });
  for (int Index = 0; Index < 3; ++Index)
    Fixture.sendRequest("/p/", {}, "fatal");
  CHECK(Fixture.Received.size() == 3);
  CHECK(statusOf(Fixture.sendRequest("/p/", {}, "fatal")) == 503);
  CHECK(Fixture.Received.size() == 3);
}

TEST_CASE("Late in a planned stop only plain requests are admitted") {
  relay_fixture Fixture;
  Fixture.setScript(sendCompleteResponse);
  Fixture.addRoute("/plain/", route_kind::NonIdempotent);
  Fixture.addRoute("/stream/", route_kind::Stream);
  Fixture.applyRoutes();
  Fixture.Fleet.IsStopping = true;
  Fixture.Fleet.StoppingSince = Fixture.Clock.now() - milliseconds(4000);
  CHECK(statusOf(Fixture.sendRequest("/plain/")) == 200);
  CHECK(statusOf(Fixture.sendRequest("/stream/")) == 503);
  Fixture.Fleet.StoppingSince = Fixture.Clock.now() - milliseconds(7000);
  const auto Response = Fixture.sendRequest("/plain/");
  CHECK(statusOf(Response) == 503);
  CHECK(fieldOf(Response, "Connection") == "close");
}

namespace {

constexpr milliseconds UsualTime{1500};

/// A VM in a planned stop; its plain responses usually take UsualTime.
struct stopping_vm : relay_fixture {
  explicit stopping_vm(route_kind Kind) {
    addRoute("/slow/", Kind);
    applyRoutes();
    constexpr int Samples = 20;
    for (int Count = 0; Count < Samples; ++Count)
      Fleet.LatencyBaseline.add("/slow/", model_id(), UsualTime.count());
    Fleet.IsStopping = true;
    setScript([this](std::size_t, const received_request &) {
      Clock.skip(UsualTime);
      return scripted_response{
          wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
    });
  }
  int requestAt(milliseconds SinceStop) {
    Fleet.StoppingSince = Clock.now() - SinceStop;
    return statusOf(sendRequest("/slow/"));
  }
};

} // namespace

TEST_CASE("A request that could not finish before a planned stop ends is "
          "refused as not run") {
  for (const route_kind Kind :
       {route_kind::Idempotent, route_kind::NonIdempotent}) {
    stopping_vm Vm(Kind);
    CHECK(Vm.requestAt(milliseconds(500)) == 200);
    CHECK(Vm.requestAt(milliseconds(5000)) == 200);
    Vm.Received.clear();
    CHECK(Vm.requestAt(milliseconds(6000)) == 503);
    CHECK(Vm.Received.empty());
  }
}

TEST_CASE("A request that has not run is not sent again shortly before a "
          "planned stop ends") {
  stopping_vm Vm(route_kind::NonIdempotent);
  Vm.setScript([&](std::size_t, const received_request &) {
    Vm.Clock.skip(milliseconds(4500));
    return scripted_response{wholeResponse(503, "Not-Run: 1\r\n", "")};
  });
  CHECK(Vm.requestAt(milliseconds(2000)) == 503);
  CHECK(Vm.Received.size() == 1);
}

namespace {

/// Longer than an endpoint may be silent while another one takes the request.
constexpr milliseconds SlowResponseTime{700};

scripted_response slowResponse() {
  scripted_response Response{
      wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
  Response.Delay = SlowResponseTime;
  return Response;
}

} // namespace

TEST_CASE("A slow response is awaited while no other endpoint takes the "
          "request") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript(
      [](std::size_t, const received_request &) { return slowResponse(); });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("A slow response is awaited while the retry budget is exhausted") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.Fleet.Retries = fleet_retry_budget({0, milliseconds(10000), 0});
  Fixture.setScript(
      [](std::size_t, const received_request &) { return slowResponse(); });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("A slow response is awaited if a retry would come too late for a "
          "planned stop") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([&](std::size_t, const received_request &) {
    // Time for the response, but not for one more attempt.
    Fixture.Fleet.IsStopping = true;
    Fixture.Fleet.StoppingSince = Fixture.Clock.now() - milliseconds(6250);
    return slowResponse();
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  CHECK(Fixture.Received.size() == 1);
}

TEST_CASE("An endpoint that says in any response that it is leaving gets no "
          "further request") {
  for (const int Status : {200, 500, 503}) {
    CAPTURE(Status);
    relay_fixture Fixture;
    Fixture.addRoute("/p/", route_kind::Idempotent);
    Fixture.applyRoutes();
    Fixture.setScript([&](std::size_t Number, const received_request &) {
      if (Number > 0)
        return scripted_response{
            wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
      const std::string Refusal = Status == 503 ? "Not-Run: 1\r\n" : "";
      return scripted_response{wholeResponse(
          Status, "Id: r1\r\nSigned: x\r\nLeaving: 1\r\n" + Refusal, "ok")};
    });
    for (int Index = 0; Index < 6; ++Index)
      CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
    for (std::size_t Index = 1; Index < Fixture.Received.size(); ++Index)
      CHECK(Fixture.Received[Index].Endpoint != Fixture.Received[0].Endpoint);
    CHECK(Fixture.Fleet.Endpoints.leavingStarts().size() == 1);
  }
}

TEST_CASE("A misdirected response says nothing about the endpoint's leaving") {
  relay_fixture Fixture(1);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{wholeResponse(421, "Leaving: 1\r\n", "")};
  });
  Fixture.Codec.TreatsAsMisdirected = 421;
  Fixture.sendRequest("/p/");
  CHECK_FALSE(
      Fixture.Fleet.Endpoints.find(endpoint_id("e0"))->Descriptor.IsLeaving);
}

TEST_CASE("Requests go elsewhere while an endpoint sheds load") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  std::string Shedding;
  Fixture.setScript([&](std::size_t Number, const received_request &Request) {
    if (Number == 0)
      Shedding = Request.Endpoint;
    return scripted_response{
        Request.Endpoint == Shedding
            ? wholeResponse(503, "Not-Run: 1\r\nRetry-After: 30000\r\n", "")
            : wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
  });
  for (int Index = 0; Index < 10; ++Index)
    CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  CHECK(Fixture.Received.size() == 11);
}

TEST_CASE(
    "A service that sheds load is not asked; callers learn when to return") {
  relay_fixture Fixture;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  Fixture.setScript([](std::size_t, const received_request &) {
    return scripted_response{
        wholeResponse(503, "Not-Run: 1\r\nRetry-After: 30000\r\n", "")};
  });
  for (int Index = 0; Index < 5; ++Index) {
    const auto Response = Fixture.sendRequest("/p/");
    CHECK(statusOf(Response) == 503);
    const int RetryAfter = std::stoi(fieldOf(Response, "Retry-After"));
    CHECK(RetryAfter > 29000);
    CHECK(RetryAfter <= 31000);
  }
  CHECK(Fixture.Received.size() == 2);
}

TEST_CASE("Plain endpoints that are silent for a moment are not taken for "
          "crashed") {
  relay_fixture Fixture(6);
  Fixture.addRoute("/p/", route_kind::Idempotent);
  Fixture.applyRoutes();
  bool IsSilent = true;
  Fixture.setScript([&](std::size_t, const received_request &) {
    return IsSilent ? scripted_response{"", after_response::Hang}
                    : scripted_response{
                          wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
  });
  // The caller asks again in vain.
  for (int Count = 0; Count < 2; ++Count)
    Fixture.sendRequest("/p/x", "Deadline: 1500\r\n");
  REQUIRE(Fixture.Received.size() >= 4);
  IsSilent = false;
  Fixture.Clock.skip(milliseconds(5000));
  CHECK(statusOf(Fixture.sendRequest("/p/x", "Deadline: 1500\r\n")) == 200);
}

TEST_CASE(
    "A late second copy of a refusal is not taken for the response to the "
    "next request, which runs once") {
  for (const std::string &Refusal :
       {wholeResponse(503, "Not-Run: 1\r\n", ""), wholeResponse(421, "", "")}) {
    CAPTURE(Refusal);
    relay_fixture Fixture(1);
    Fixture.Codec.TreatsAsMisdirected = 421;
    Fixture.addRoute("/p/", route_kind::NonIdempotent);
    Fixture.applyRoutes();
    int Runs = 0;
    Fixture.setScript([&](std::size_t Number, const received_request &) {
      if (Number == 0)
        return scripted_response{.Bytes = Refusal, .HasLateCopy = true};
      ++Runs;
      return scripted_response{
          wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
    });
    CHECK(statusOf(Fixture.sendRequest("/p/")) == 503);
    // A misdirected response ejects the endpoint.
    endEjection(*Fixture.Fleet.Endpoints.find(endpoint_id("e0")),
                Fixture.Clock.now());
    CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
    CHECK(Runs == 1);
  }
}

TEST_CASE("A late second copy of a misdirected response is not taken for the "
          "response of the endpoint that has the address now") {
  relay_fixture Fixture(1);
  Fixture.Codec.TreatsAsMisdirected = 421;
  Fixture.addRoute("/p/", route_kind::NonIdempotent);
  Fixture.applyRoutes();
  endpoint_descriptor Successor =
      Fixture.Fleet.Endpoints.find(endpoint_id("e0"))->Descriptor;
  Successor.Id = endpoint_id("e1");
  Fixture.Fleet.Endpoints.put(Successor);
  Fixture.setScript([](std::size_t Number, const received_request &) {
    if (Number == 0)
      return scripted_response{.Bytes = wholeResponse(421, "Id: r1\r\n", ""),
                               .HasLateCopy = true};
    return scripted_response{
        wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "ok")};
  });
  CHECK(statusOf(Fixture.sendRequest("/p/")) == 200);
  CHECK(Fixture.Received.size() == 2);
}
