#include "LibDispatch/prompt_quarantine.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
constexpr segment_key System = 1;
constexpr segment_key Bad = 99;

/// A subject's segment.
segment_key subject(int Number) { return 10 + Number; }

endpoint_id endpoint(int Number) {
  return endpoint_id("e/" + std::to_string(Number));
}

void crash(prompt_quarantine &Quarantine,
           const std::vector<segment_key> &Segments, int From, int To) {
  for (int Number = From; Number <= To; ++Number)
    Quarantine.addLocal(Segments, endpoint(Number), Start);
}

/// Passes on what one VM has learned.
void deliver(prompt_quarantine &From, prompt_quarantine &To) {
  for (const auto &Record : From.takeNews())
    To.merge(Record, Start);
}

} // namespace

TEST_CASE("The last segment of a prompt is never shared") {
  dispatch_request Request;
  CHECK(sharedSegments(Request).empty());
  Request.Prompt = {{"a", 1}, {"b", 1}, {"own", 1}};
  CHECK(sharedSegments(Request).size() == 2);
}

TEST_CASE("A segment is quarantined after three crashes of different process "
          "starts") {
  prompt_quarantine Quarantine;
  crash(Quarantine, {Bad}, 1, 2);
  crash(Quarantine, {Bad}, 2, 2);
  CHECK_FALSE(Quarantine.isQuarantined({Bad}));
  crash(Quarantine, {Bad}, 3, 3);
  CHECK(Quarantine.isQuarantined({System, Bad}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(1)}));
  CHECK_FALSE(Quarantine.isQuarantined({}));
}

TEST_CASE("Segments that were always together are refused only together") {
  prompt_quarantine Quarantine;
  crash(Quarantine, {System, subject(1), Bad}, 1, 3);
  CHECK(Quarantine.isQuarantined({System, subject(1), Bad}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(1)}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(2), Bad}));
  // One more crash tells which of them is to blame.
  crash(Quarantine, {System, subject(2), Bad}, 4, 4);
  CHECK(Quarantine.isQuarantined({System, subject(3), Bad}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(1)}));
}

TEST_CASE("A segment that sound responses share is not quarantined with the "
          "bad one") {
  prompt_quarantine Quarantine;
  Quarantine.clearLocal({System, subject(1)}, Start);
  crash(Quarantine, {System, subject(1), Bad}, 1, 9);
  // A crash that has another cause does not make the common segment the better
  // explanation.
  crash(Quarantine, {System}, 10, 12);
  CHECK(Quarantine.isQuarantined({System, subject(1), Bad}));
  CHECK(Quarantine.isQuarantined({Bad}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(1)}));
}

TEST_CASE("Crashes before a response quarantine the segment that was in all "
          "of them, one after the other") {
  prompt_quarantine Quarantine;
  const auto Crash = [&](const std::vector<segment_key> &Segments, int Number,
                         milliseconds At) {
    Quarantine.addLocal(Segments, endpoint(Number),
                        {Start + At, milliseconds(50)});
  };
  for (int Number = 1; Number <= 3; ++Number) {
    const milliseconds At(1000 * Number);
    // Sound requests waited on the same endpoints.
    Crash({System, subject(Number)}, Number, At);
    Crash({System, subject(9), Bad}, Number, At);
    Quarantine.clearLocal({System}, Start + At + milliseconds(100));
  }
  CHECK(Quarantine.isQuarantined({System, subject(9), Bad}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(1)}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(9)}));
  // One more tells which of those that were always together is to blame.
  Crash({System, subject(8), Bad}, 4, milliseconds(4000));
  CHECK(Quarantine.isQuarantined({System, subject(7), Bad}));
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(9)}));
}

TEST_CASE("Requests that wait on endpoints which end together are not "
          "refused") {
  prompt_quarantine Quarantine;
  for (int Number = 1; Number <= 12; ++Number)
    Quarantine.addLocal({System, subject(1)}, endpoint(Number),
                        {Start, milliseconds(200)});
  CHECK(Quarantine.independentCrashes(System) == 1);
  CHECK_FALSE(Quarantine.isQuarantined({System, subject(1)}));
}

TEST_CASE("A crash during a response replaces what waiting requests told of "
          "it, on all VMs") {
  prompt_quarantine Here;
  prompt_quarantine There;
  Here.addLocal({Bad}, endpoint(1), {Start, milliseconds(80)});
  Here.addLocal({Bad}, endpoint(1), {Start, milliseconds(30)});
  deliver(Here, There);
  There.addLocal({Bad}, endpoint(1), Start);
  deliver(There, Here);
  for (const prompt_quarantine *Vm : {&Here, &There}) {
    REQUIRE(Vm->records().size() == 1);
    CHECK(Vm->records().all().front().CoincidenceTime.count() == 0);
  }
  CHECK(Here.records().digest() == There.records().digest());
  CHECK(Here.records().waitingDigest() == There.records().waitingDigest());
  CHECK(Here.records().waitingDigest() == 0);
}

TEST_CASE("A response that makes progress clears its segments on all VMs") {
  prompt_quarantine Here;
  prompt_quarantine There;
  crash(Here, {System, subject(1)}, 1, 3);
  deliver(Here, There);
  CHECK(There.isQuarantined({System, subject(1)}));
  There.clearLocal({System, subject(2)}, Start);
  deliver(There, Here);
  for (const prompt_quarantine *Vm : {&Here, &There}) {
    CHECK_FALSE(Vm->isQuarantined({System}));
    CHECK(Vm->isQuarantined({subject(1)}));
  }
}

TEST_CASE("Crashes that several VMs have seen are added up") {
  prompt_quarantine Vms[3];
  for (int Vm = 0; Vm < 3; ++Vm)
    crash(Vms[Vm], {Bad}, Vm, Vm);
  deliver(Vms[0], Vms[2]);
  deliver(Vms[1], Vms[2]);
  CHECK(Vms[2].isQuarantined({Bad}));
  CHECK(Vms[2].takeNews().size() == 1);
}

TEST_CASE("A segment that was sound before needs more crashes, and is tried "
          "again sooner") {
  prompt_quarantine Quarantine;
  Quarantine.clearLocal({System}, Start);
  crash(Quarantine, {System}, 1, 4);
  CHECK_FALSE(Quarantine.isQuarantined({System}));
  crash(Quarantine, {System}, 5, 5);
  CHECK(Quarantine.isQuarantined({System}));
  Quarantine.expire(Start + std::chrono::seconds(61));
  CHECK_FALSE(Quarantine.isQuarantined({System}));
}

TEST_CASE("A segment that callers send without end uses no more memory") {
  prompt_quarantine Quarantine;
  for (segment_key Segment = 0; Segment < 5000; ++Segment)
    Quarantine.merge({Segment, endpoint(1), Start}, Start);
  crash(Quarantine, {6000}, 1, 3);
  CHECK_FALSE(Quarantine.isQuarantined({6000}));
  Quarantine.expire(Start + std::chrono::minutes(11));
  crash(Quarantine, {6000}, 1, 3);
  CHECK(Quarantine.isQuarantined({6000}));
}

TEST_CASE("Crashes of process starts that live on clear their segments") {
  prompt_quarantine Here;
  prompt_quarantine There;
  crash(Here, {Bad}, 1, 3);
  deliver(Here, There);
  REQUIRE(There.isQuarantined({Bad}));
  CHECK(There.refuteEndpoint(endpoint(1), Start));
  CHECK_FALSE(There.isQuarantined({Bad}));
  deliver(There, Here);
  CHECK_FALSE(Here.isQuarantined({Bad}));
  CHECK(Here.takeNews().empty());
  crash(Here, {Bad}, 4, 4);
  CHECK(Here.isQuarantined({Bad}));
}

TEST_CASE(
    "Segments that were cleared leave room for those that crash endpoints") {
  prompt_quarantine Quarantine;
  for (segment_key Segment = 0; Segment < 5000; ++Segment) {
    Quarantine.addLocal({10000 + Segment}, endpoint(1), Start);
    Quarantine.clearLocal({10000 + Segment}, Start);
  }
  crash(Quarantine, {Bad}, 1, 3);
  CHECK(Quarantine.isQuarantined({Bad}));
}
