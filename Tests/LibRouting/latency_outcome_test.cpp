#include "LibRouting/latency_outcome.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr milliseconds Target{1000};
constexpr milliseconds Early{100};
constexpr milliseconds Late{1500};

attempt_report reportOf(attempt_outcome Outcome,
                        std::optional<milliseconds> FirstToken,
                        milliseconds TotalTime) {
  attempt_report Report;
  Report.Outcome = Outcome;
  Report.TimeToFirstToken = FirstToken;
  Report.TotalTime = TotalTime;
  Report.MayHaveRun = true;
  return Report;
}

latency_outcome outcomeOf(const attempt_report &Report) {
  work_class Class;
  Class.FirstTokenTarget = Target;
  return latencyOutcomeOf(Class, Report);
}

} // namespace

TEST_CASE("An attempt with a first token is judged by it, however it ends") {
  for (const auto Outcome : {attempt_outcome::Answered, attempt_outcome::Failed,
                             attempt_outcome::Cancelled}) {
    CHECK(outcomeOf(reportOf(Outcome, Early, Late)) == latency_outcome::InTime);
    CHECK(outcomeOf(reportOf(Outcome, Late, Late)) == latency_outcome::Late);
  }
}

TEST_CASE("An attempt without a first token is late once that was due, or if "
          "it fails") {
  CHECK(outcomeOf(reportOf(attempt_outcome::Cancelled, std::nullopt, Late)) ==
        latency_outcome::Late);
  CHECK(outcomeOf(reportOf(attempt_outcome::Cancelled, std::nullopt, Early)) ==
        latency_outcome::Unknown);
  CHECK(outcomeOf(reportOf(attempt_outcome::Failed, std::nullopt, Early)) ==
        latency_outcome::Late);
}

TEST_CASE("An attempt that its class's deadline ends is late") {
  attempt_report Report = reportOf(attempt_outcome::Cancelled, Early, Late);
  Report.IsPastDeadline = true;
  CHECK(outcomeOf(Report) == latency_outcome::Late);
}

TEST_CASE("An attempt that was refused or never reached its endpoint tells "
          "nothing") {
  attempt_report Report = reportOf(attempt_outcome::Failed, std::nullopt, Late);
  Report.MayHaveRun = false;
  CHECK(outcomeOf(Report) == latency_outcome::Unknown);
  CHECK(outcomeOf(reportOf(attempt_outcome::Refused, std::nullopt, Late)) ==
        latency_outcome::Unknown);
}
