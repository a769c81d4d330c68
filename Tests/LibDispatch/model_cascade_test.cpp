#include "LibDispatch/model_cascade.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace azurehaven;

namespace {

constexpr milliseconds Idle{0};

route routeOfModels(std::size_t Count) {
  route Route;
  Route.Kind = route_kind::Idempotent;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Route.ModelsBySize.emplace_back("m" + std::to_string(Index));
  return Route;
}

} // namespace

TEST_CASE("The smallest model responds first, low confidence escalates") {
  const model_cascade Cascade;
  const route Route = routeOfModels(3);
  const dispatch_request Request;
  CHECK(Cascade.firstModel(Route, Idle) == 0);
  CHECK(Cascade.escalate(Route, Request, 0, 0, Idle) == 2);
  CHECK_FALSE(Cascade.escalate(Route, Request, 0, 100, Idle));
}

TEST_CASE("A request that must not run twice gets the largest model, unless "
          "the backlog is long") {
  const model_cascade Cascade;
  route Route = routeOfModels(3);
  Route.Kind = route_kind::NonIdempotent;
  CHECK(Cascade.firstModel(Route, Idle) == 2);
  CHECK(Cascade.firstModel(Route, milliseconds(10000)) == 0);
}

TEST_CASE("The confidence threshold falls as the backlog grows") {
  const model_cascade Cascade;
  const route Route = routeOfModels(3);
  int Before = 100;
  for (const auto Backlog : {milliseconds(0), milliseconds(1000),
                             milliseconds(3000), milliseconds(10000)}) {
    int Escalated = 0;
    for (int Confidence = 0; Confidence <= 100; ++Confidence)
      Escalated +=
          Cascade.escalate(Route, {}, 0, Confidence, Backlog).has_value();
    CHECK(Escalated < Before);
    Before = Escalated;
  }
  // With a backlog of ten seconds, only responses with no confidence at all are
  // escalated.
  CHECK(Before <= 1);
}

namespace {

/// Counts of a simulated burst on nine engines that process prompts one after
/// the other. Work is in tokens of the smallest model; half of the small
/// model's responses are bad.
struct burst_result {
  int InTime = 0;
  int Good = 0;
};

burst_result simulateBurst(bool LowersThresholdUnderLoad) {
  constexpr double EngineTokensPerMs = 190;
  constexpr double Engines = 9;
  constexpr double PromptTokens = 17000;
  constexpr double LargeFactor = 10;
  constexpr double ObjectiveMs = 3000;
  const model_cascade Cascade;
  const route Route = routeOfModels(3);
  burst_result Result;
  double BacklogMs = 0;
  for (int Request = 0; Request < 400; ++Request) {
    // Twenty requests a second for twenty seconds.
    BacklogMs = std::max(0.0, BacklogMs - 50);
    const int Confidence = Request * 37 % 101;
    const milliseconds ReportedBacklog(
        LowersThresholdUnderLoad ? static_cast<std::int64_t>(BacklogMs) : 0);
    const bool IsLarge =
        Cascade.escalate(Route, {}, 0, Confidence, ReportedBacklog).has_value();
    const double Work = PromptTokens * (IsLarge ? 1 + LargeFactor : 1);
    BacklogMs += Work / EngineTokensPerMs / Engines;
    if (BacklogMs > ObjectiveMs)
      continue;
    ++Result.InTime;
    Result.Good += IsLarge || Confidence >= 50;
  }
  return Result;
}

} // namespace

TEST_CASE(
    "Lowering the threshold under load yields more good responses in time") {
  const burst_result Fixed = simulateBurst(false);
  const burst_result LoadAware = simulateBurst(true);
  CHECK(LoadAware.InTime > 350);
  CHECK(LoadAware.Good > Fixed.Good);
}

TEST_CASE("The largest model's response is accepted at any confidence") {
  const model_cascade Cascade;
  CHECK_FALSE(Cascade.escalate(routeOfModels(3), {}, 2, 0, Idle));
  CHECK_FALSE(Cascade.escalate(routeOfModels(1), {}, 0, 0, Idle));
}

TEST_CASE("Larger models count as more work") {
  const model_cascade Cascade;
  const route Route = routeOfModels(3);
  CHECK(Cascade.workPerToken(Route, 0) == 1);
  CHECK(Cascade.workPerToken(Route, 1) > Cascade.workPerToken(Route, 0));
  CHECK(Cascade.workPerToken(Route, 2) > Cascade.workPerToken(Route, 1));
}
