#include "LibDispatch/confirmation_exchange.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const vm_id Peer("vm-2");

} // namespace

TEST_CASE("A VM gets back its latest reading from before the confirmation") {
  confirmation_exchange Exchange;
  CHECK_FALSE(Exchange.confirmationFor(Peer));
  for (int Index = 0; Index < 5; ++Index)
    Exchange.onClockReading(Peer, 7, milliseconds(1000 + Index),
                            Start + milliseconds(200) * Index);
  Exchange.onConfirmed(4, Start + milliseconds(500));
  const auto Passed = Exchange.confirmationFor(Peer);
  REQUIRE(Passed);
  CHECK(Passed->ClockReading == milliseconds(1002));
  CHECK(Passed->Version == 4);
  CHECK(Passed->Incarnation == 7);
  CHECK_FALSE(Exchange.confirmationFor(vm_id("vm-3")));
}

TEST_CASE("A reading that arrived after the confirmation is not returned") {
  confirmation_exchange Exchange;
  Exchange.onClockReading(Peer, 7, milliseconds(1000), Start);
  Exchange.onConfirmed(4, Start - milliseconds(1));
  CHECK_FALSE(Exchange.confirmationFor(Peer));
}

TEST_CASE("The readings of an earlier process start are forgotten") {
  confirmation_exchange Exchange;
  Exchange.onClockReading(Peer, 7, milliseconds(500000), Start);
  Exchange.onConfirmed(4, Start);
  Exchange.onClockReading(Peer, 8, milliseconds(20), Start + milliseconds(5));
  CHECK_FALSE(Exchange.confirmationFor(Peer));
}

TEST_CASE("A confirmation proves something only to a VM with that version") {
  const milliseconds Reading = clockReadingAt(Start);
  const auto Now = Start + milliseconds(300);
  CHECK(provenTimeOf({4, 7, Reading}, 4, 7, Now) == Start);
  // The VM lacks the confirmed version, or has one that it does not cover.
  CHECK_FALSE(provenTimeOf({5, 7, Reading}, 4, 7, Now));
  CHECK_FALSE(provenTimeOf({3, 7, Reading}, 4, 7, Now));
  // Of an earlier process start, or from a malformed notice.
  CHECK_FALSE(provenTimeOf({4, 6, Reading}, 4, 7, Now));
  CHECK_FALSE(provenTimeOf({4, 7, Reading + milliseconds(1000)}, 4, 7, Now));
  for (const auto Absurd : {milliseconds::max(), milliseconds::min()})
    CHECK_FALSE(provenTimeOf({4, 7, Absurd}, 4, 7, Now));
}

TEST_CASE("Few VMs ask the store, but always more than one fault can stop") {
  CHECK(askingVmCount(1) == 3);
  CHECK(askingVmCount(5) == 3);
  CHECK(askingVmCount(38) == 5);
  CHECK(askingVmCount(780) == 98);
}
