#include "crash_simulation.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr unsigned SeedCount = 12;
/// Sends of a crashing request that operators accept after the contact time;
/// for a prompt segment, requests with it.
constexpr int AllowedLate = 3;

/// The crashing request comes to one VM after the other, beside sound ones.
crash_day beside(crash_form Form, crash_moment Moment) {
  crash_day Day;
  Day.Form = Form;
  Day.Moment = Moment;
  Day.TurnInterval = milliseconds(1500);
  Day.ArrivalInterval = milliseconds(6000);
  Day.HasSoundLoad = true;
  Day.SoundWait = milliseconds(40);
  return Day;
}

void checkFound(crash_day Day) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    const crash_result Result = simulateCrashes(Day, Seed);
    CAPTURE(Seed);
    CAPTURE(Result.Crashes);
    CHECK(Result.Crashes >= 3);
    CHECK((Day.SharesSegmentOnly ? Result.LateRequests : Result.LateSends) <=
          AllowedLate);
    CHECK(Result.RefusedSound == 0);
  }
}

void checkRequestAndSegment(crash_form Form) {
  for (const crash_moment Moment :
       {crash_moment::AfterHead, crash_moment::BeforeHead}) {
    CAPTURE(static_cast<int>(Moment));
    crash_day Day = beside(Form, Moment);
    Day.EndpointCount = 3;
    checkFound(Day);
    Day.EndpointCount = 12;
    Day.SharesSegmentOnly = true;
    checkFound(Day);
    Day.SubjectCount = 8;
    checkFound(Day);
  }
}

/// Nothing but endpoints that crash by themselves.
crash_day loneCrashes() {
  crash_day Day;
  Day.HasCrashingRequest = false;
  Day.LoneCrashInterval = milliseconds(1000);
  Day.HasSoundLoad = true;
  Day.SoundWait = milliseconds(300);
  Day.SoundLeaveShare = 0.5;
  return Day;
}

void checkNoneRefused(const crash_day &Day) {
  for (unsigned Seed = 0; Seed < SeedCount; ++Seed) {
    CAPTURE(Seed);
    CHECK(simulateCrashes(Day, Seed).RefusedSound == 0);
  }
}

} // namespace

// Guards against requests that crash endpoints without end because what ended
// their attempts for the VM was not the endpoint (review/6, review/8,
// review/9).
TEST_CASE("A request or prompt segment that crashes endpoints just after its "
          "caller has left is refused") {
  checkRequestAndSegment(crash_form::AttemptAbandoned);
}

TEST_CASE("A request or prompt segment that crashes endpoints just after they "
          "sent bytes that are no response is refused") {
  checkRequestAndSegment(crash_form::MalformedResponse);
}

TEST_CASE("A request or prompt segment that crashes endpoints into silence is "
          "refused") {
  checkRequestAndSegment(crash_form::Silence);
}

TEST_CASE("Sound requests are served beside endpoints that crash by "
          "themselves, however many callers leave") {
  crash_day Day = loneCrashes();
  SUBCASE("requests that come again and again") {
    Day.EndpointCount = 3;
    Day.SoundRequestCount = 10;
  }
  SUBCASE("the same request") { Day.SoundRequestCount = 1; }
  SUBCASE("prompts that share segments") {
    Day.SharesSegmentOnly = true;
    Day.SubjectCount = 8;
  }
  checkNoneRefused(Day);
}
