#include "LibConnection/receive_timeout.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

steady_time at(int Ms) { return Start + milliseconds(Ms); }

caller_limits limitsOf(int HeaderMs, int IdleMs) {
  caller_limits Limits;
  Limits.HeaderTimeout = milliseconds(HeaderMs);
  Limits.IdleTimeout = milliseconds(IdleMs);
  return Limits;
}

} // namespace

TEST_CASE("Nothing expires while a request is served") {
  const caller_limits Limits = limitsOf(50, 200);
  receive_timeout Timeout;
  CHECK_FALSE(Timeout.dueAt(Limits));
  for (const auto Phase :
       {receive_phase::Rest, receive_phase::Head, receive_phase::Body}) {
    Timeout.start(Phase, Limits, Start);
    CHECK(Timeout.expiredPhase(Limits, at(1000)) == Phase);
    Timeout.stop();
    CHECK_FALSE(Timeout.expiredPhase(Limits, at(1000)));
    CHECK_FALSE(Timeout.dueAt(Limits));
  }
}

TEST_CASE("A rest that has ended does not end the request after it") {
  const caller_limits Limits = limitsOf(50, 200);
  receive_timeout Timeout;
  Timeout.start(receive_phase::Rest, Limits, Start);
  CHECK(Timeout.expiredPhase(Limits, at(200)) == receive_phase::Rest);
  Timeout.start(receive_phase::Head, Limits, at(199));
  CHECK_FALSE(Timeout.expiredPhase(Limits, at(248)));
  CHECK(Timeout.expiredPhase(Limits, at(249)) == receive_phase::Head);
  Timeout.start(receive_phase::Body, Limits, at(248));
  CHECK_FALSE(Timeout.expiredPhase(Limits, at(447)));
  CHECK(Timeout.expiredPhase(Limits, at(448)) == receive_phase::Body);
}

TEST_CASE("A connection rests for the longer of the limits at its begin and "
          "now") {
  for (const bool Grows : {true, false}) {
    CAPTURE(Grows);
    const int Before = Grows ? 200 : 15000;
    const int After = Grows ? 15000 : 200;
    receive_timeout Timeout;
    Timeout.start(receive_phase::Rest, limitsOf(50, Before), Start);
    const caller_limits Now = limitsOf(50, After);
    CHECK_FALSE(Timeout.expiredPhase(Now, at(14999)));
    CHECK(Timeout.expiredPhase(Now, at(15000)) == receive_phase::Rest);
    CHECK(Timeout.dueAt(Now) == at(15000));
  }
}

TEST_CASE("A request keeps the timeouts of its begin unless they grow") {
  receive_timeout Timeout;
  Timeout.start(receive_phase::Head, limitsOf(100, 1000), Start);
  const caller_limits Shorter = limitsOf(10, 10);
  CHECK_FALSE(Timeout.expiredPhase(Shorter, at(99)));
  CHECK_FALSE(Timeout.expiredPhase(limitsOf(300, 10), at(299)));
  Timeout.start(receive_phase::Body, Shorter, at(50));
  CHECK_FALSE(Timeout.expiredPhase(Shorter, at(1049)));
  CHECK(Timeout.expiredPhase(Shorter, at(1050)) == receive_phase::Body);
  CHECK_FALSE(Timeout.expiredPhase(limitsOf(10, 2000), at(2049)));
}

TEST_CASE("Later bytes of a head don't extend its time, those of a body do") {
  const caller_limits Limits = limitsOf(100, 100);
  receive_timeout Timeout;
  Timeout.start(receive_phase::Head, Limits, Start);
  Timeout.start(receive_phase::Head, Limits, at(90));
  CHECK(Timeout.expiredPhase(Limits, at(100)) == receive_phase::Head);
  Timeout.start(receive_phase::Body, Limits, at(95));
  Timeout.start(receive_phase::Body, Limits, at(190));
  CHECK_FALSE(Timeout.expiredPhase(Limits, at(289)));
  CHECK(Timeout.expiredPhase(Limits, at(290)) == receive_phase::Body);
}

TEST_CASE("A new rest takes the limits in force as it begins") {
  receive_timeout Timeout;
  Timeout.start(receive_phase::Rest, limitsOf(50, 15000), Start);
  Timeout.stop();
  Timeout.start(receive_phase::Rest, limitsOf(50, 200), at(1000));
  CHECK(Timeout.dueAt(limitsOf(50, 200)) == at(1200));
}
