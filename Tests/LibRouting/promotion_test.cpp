#include "LibRouting/router.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const version_id Incumbent("m@1");
const version_id Candidate("m@2");
constexpr milliseconds FirstTokenTarget{1000};
/// More than a promotion needs.
constexpr int RatedAnswers = 300;

/// A model with an active version and one under roll-out. Their answers are
/// equally good.
struct fixture {
  configuration Configuration;
  work_class Class;
  router Router{vm_id("a"), 1, 1, {}};

  fixture() {
    Class.Id = class_id("c");
    Class.FirstTokenTarget = FirstTokenTarget;
    Configuration.Classes[Class.Id] = Class;
    for (const version_id &Id : {Incumbent, Candidate})
      Configuration.Versions[Id] = {Id, model_id("m"), micro_euros(10),
                                    micro_euros(10), version_state::Active};
    Configuration.Versions[Candidate].State = version_state::RollingOut;
    answer(Incumbent, milliseconds(100));
    finish(Incumbent, attempt_outcome::Failed, milliseconds(100), 3);
  }

  void finish(const version_id &Version, attempt_outcome Outcome,
              std::optional<milliseconds> FirstToken, int Count,
              milliseconds TotalTime = milliseconds(3000)) {
    attempt_report Report;
    Report.Outcome = Outcome;
    Report.TimeToFirstToken = FirstToken;
    Report.HadStartedAnswer = FirstToken.has_value();
    Report.MayHaveRun = true;
    Report.TotalTime = TotalTime;
    attempt Attempt;
    Attempt.Version = Version;
    for (int Index = 0; Index < Count; ++Index)
      Router.finishAttempt(Attempt, Class, Report, Start);
  }
  void answer(const version_id &Version, milliseconds FirstToken) {
    finish(Version, attempt_outcome::Answered, FirstToken, RatedAnswers);
    for (int Index = 0; Index < RatedAnswers; ++Index)
      Router.addRating({Version, Class.Id}, answer_role::Direct, 1, 0.9);
  }
  bool isPromoted() {
    return !Router.promotableVersions(Configuration).empty();
  }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "A version that is as good, complete and fast as "
                           "its incumbent is promoted") {
  answer(Candidate, milliseconds(120));
  finish(Candidate, attempt_outcome::Failed, milliseconds(100), 3);
  CHECK(isPromoted());
}

TEST_CASE_FIXTURE(fixture, "A version whose answers miss the latency target is "
                           "not promoted") {
  answer(Candidate, FirstTokenTarget * 2);
  CHECK_FALSE(isPromoted());
}

TEST_CASE_FIXTURE(fixture, "A version whose callers give up before it answers "
                           "is not promoted for its answers in time") {
  answer(Candidate, milliseconds(100));
  CHECK(isPromoted());
  finish(Candidate, attempt_outcome::Cancelled, std::nullopt, 100);
  CHECK_FALSE(isPromoted());
}

TEST_CASE_FIXTURE(fixture, "A version that fails before its first token is not "
                           "promoted for the answers that it completes") {
  answer(Candidate, milliseconds(100));
  finish(Candidate, attempt_outcome::Failed, std::nullopt, 100,
         milliseconds(5));
  CHECK_FALSE(isPromoted());
}

TEST_CASE_FIXTURE(fixture, "A version that breaks off answers is not promoted "
                           "for those that it completes") {
  answer(Candidate, milliseconds(100));
  finish(Candidate, attempt_outcome::Failed, milliseconds(100), 30);
  CHECK_FALSE(isPromoted());
}

TEST_CASE_FIXTURE(fixture, "Callers that leave early, and endpoints that are "
                           "full or gone, are not held against a version") {
  answer(Candidate, milliseconds(100));
  finish(Candidate, attempt_outcome::Cancelled, std::nullopt, 100,
         milliseconds(5));
  finish(Candidate, attempt_outcome::Refused, std::nullopt, 100);
  CHECK(isPromoted());
}
