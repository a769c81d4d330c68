#include "relay_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr std::size_t EndpointCount = 3;
/// After this time without progress a plain endpoint counts as silent.
constexpr milliseconds IdleTimeout{10000};
/// Pending prompt work, in tokens.
constexpr double LongBacklog = 1e6;
/// Within this time a silent endpoint is given up.
constexpr milliseconds SettlingTime{600};

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";

/// Why a request might be sent again.
struct repeat_reason {
  std::string Name;
  /// What the first endpoint sends, and does then.
  scripted_response First;
};

std::vector<repeat_reason> plainReasons() {
  const std::string Begun =
      "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: x\r\nContent-Length: 9\r\n\r\nab";
  return {
      {"reset before the head", {"", after_response::Reset}},
      {"closed before the head", {"", after_response::Close}},
      {"reset in the body", {Begun, after_response::Reset}},
      {"closed in the body", {Begun, after_response::Close}},
      {"malformed head", {"HTTP/1.1 000 OK\r\n\r\n", after_response::Hang}},
      {"no response at all", {"traceback\r\n\r\n", after_response::Hang}},
      {"unsigned", {wholeResponse(200, "Id: r1\r\n", "x")}},
      {"error", {wholeResponse(500, "Id: r1\r\nSigned: x\r\n", "")}},
      {"503 that may have run", {wholeResponse(503, "Id: r1\r\n", "")}},
      {"silent", {"", after_response::Hang}},
      {"silent in the body", {Begun, after_response::Hang}},
  };
}

std::vector<repeat_reason> streamReasons() {
  std::vector<repeat_reason> Reasons = plainReasons();
  // Only a head without a length belongs to a stream.
  std::erase_if(Reasons, [](const repeat_reason &Reason) {
    return Reason.Name.ends_with("in the body");
  });
  const std::string Begun = StreamHead + chunk(event(1));
  Reasons.push_back({"reset after an event", {Begun, after_response::Reset}});
  Reasons.push_back({"closed after an event", {Begun, after_response::Close}});
  Reasons.push_back({"silent after an event", {Begun, after_response::Hang}});
  Reasons.push_back({"ended within an event",
                     {StreamHead + chunk("id: 1\nda") + "0\r\n\r\n"}});
  return Reasons;
}

const repeat_reason LowConfidence{
    "low confidence",
    {wholeResponse(200, "Id: r1\r\nSigned: x\r\nConfidence: 0\r\n", event(1))}};

/// How many endpoints get the request; later ones respond with Next.
std::size_t countSends(const route &Shape, const repeat_reason &Reason,
                       const std::string &Next) {
  relay_fixture Fixture(EndpointCount);
  route &Route = Fixture.addRoute("/p/", Shape.Kind);
  Route.IsResumable = Shape.IsResumable;
  Route.ModelsBySize = Shape.ModelsBySize;
  Route.LatencyObjective = IdleTimeout;
  Route.Timeout = milliseconds(60000);
  Fixture.applyRoutes();
  Fixture.setScript([&](std::size_t Number, const received_request &) {
    return Number == 0 ? Reason.First : scripted_response{Next};
  });
  // With a long backlog the smallest model responds first on all routes.
  for (const auto &[Id, Endpoint] : Fixture.Fleet.Endpoints.all())
    Endpoint->PeersPromptWork = LongBacklog;
  bool HasEnded = false;
  const std::string Model = Shape.ModelsBySize.empty() ? "" : "Model: *\r\n";
  auto Caller = Fixture.startRequest(
      "/p/", [&](call_result) { HasEnded = true; }, Model);
  Fixture.runUntil([&] { return !Fixture.Received.empty(); });
  bool IsSettled = false;
  asio::steady_timer Settled(Fixture.Loop, SettlingTime);
  const bool Hangs = Reason.First.After == after_response::Hang;
  if (Hangs && !Reason.First.Bytes.empty()) {
    const endpoint_record &Endpoint = *Fixture.Fleet.Endpoints.find(
        endpoint_id(Fixture.Received.front().Endpoint));
    Fixture.runUntil([&] {
      return HasEnded || Fixture.Received.size() > 1 ||
             Endpoint.LastReceivedAt != steady_time();
    });
  }
  if (Hangs) {
    Fixture.Clock.skip(IdleTimeout + milliseconds(1000));
    Settled.async_wait([&](const asio::error_code &) { IsSettled = true; });
  }
  Fixture.runUntil(
      [&] { return HasEnded || IsSettled || Fixture.Received.size() > 1; });
  Caller->abort();
  return Fixture.Received.size();
}

void checkSends(route Shape, const repeat_reason &Reason,
                const std::string &Next) {
  CAPTURE(Reason.Name);
  CAPTURE(static_cast<int>(Shape.Kind));
  CHECK(countSends(Shape, Reason, Next) == 1);
  // The reason is one to send the request again where that is allowed.
  if (Shape.Kind == route_kind::Stream)
    Shape.IsResumable = true;
  else
    Shape.Kind = route_kind::Idempotent;
  CHECK(countSends(Shape, Reason, Next) > 1);
}

route routeOf(route_kind Kind, std::vector<model_id> Models) {
  route Route;
  Route.Kind = Kind;
  Route.ModelsBySize = std::move(Models);
  return Route;
}

} // namespace

// Guards against second runs of requests that must not run twice, whatever the
// reason to send them again.
TEST_CASE("A request that must not run twice is sent once whatever becomes of "
          "its attempt") {
  const std::string Plain =
      wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "late");
  const std::string Stream = StreamHead + chunk(event(2)) + "0\r\n\r\n";
  const std::vector<model_id> Models{model_id("small"), model_id("large")};
  for (const auto &Sizes : {std::vector<model_id>(), Models}) {
    CAPTURE(Sizes.size());
    for (const repeat_reason &Reason : plainReasons())
      checkSends(routeOf(route_kind::NonIdempotent, Sizes), Reason, Plain);
    for (const repeat_reason &Reason : streamReasons())
      checkSends(routeOf(route_kind::Stream, Sizes), Reason, Stream);
  }
  checkSends(routeOf(route_kind::NonIdempotent, Models), LowConfidence, Plain);
  checkSends(routeOf(route_kind::Stream, Models), LowConfidence, Stream);
}

TEST_CASE("A request that must not run twice is sent again if it has not run") {
  const repeat_reason Refusal{
      "not run", {wholeResponse(503, "Id: r1\r\nNot-Run: 1\r\n", "")}};
  const std::string Plain =
      wholeResponse(200, "Id: r1\r\nSigned: x\r\n", "late");
  CHECK(countSends(routeOf(route_kind::NonIdempotent, {}), Refusal, Plain) ==
        2);
}
