#include "silent_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace azurehaven;

namespace {

constexpr std::size_t VmCount = 4;
constexpr std::size_t EngineCount = 12;
constexpr segment_key CommonSegment = 99;
/// A crash that only silence tells of is settled within this time, which gives
/// a server some seconds to be back.
constexpr milliseconds SettlingTime{12000};
/// Within this time of the new process start its predecessor's end is known on
/// all VMs.
constexpr milliseconds DiscoveryTime{2000};

/// One request that comes again and again, or different ones that share a part
/// of their prompt.
admitted_request requestOf(bool SharesSegmentOnly, std::size_t Number) {
  return SharesSegmentOnly ? silentRequest(1000 + Number, {CommonSegment})
                           : silentRequest(7);
}

void checkNothingCounted(const silent_fleet &Fleet) {
  CHECK(Fleet.logged("endpoint_crash_counted") == 0);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    CHECK(Fleet.standingCrashes(Vm) == 0);
    CHECK(Fleet.unconfirmed(Vm) == 0);
  }
}

/// Engines stand still for this long, Overlap at a time, and the request gives
/// up at each of them.
void playSilence(bool SharesSegmentOnly, milliseconds Pause,
                 std::size_t Overlap, unsigned Seed) {
  CAPTURE(SharesSegmentOnly);
  CAPTURE(Pause.count());
  CAPTURE(Overlap);
  CAPTURE(Seed);
  std::mt19937 Random(Seed);
  silent_fleet Fleet(VmCount, EngineCount);
  std::vector<std::size_t> Order(EngineCount);
  for (std::size_t Index = 0; Index < EngineCount; ++Index)
    Order[Index] = Index;
  std::shuffle(Order.begin(), Order.end(), Random);
  // At the earliest moment at which an attempt gives up, or as late as it can.
  const milliseconds UntilGivenUp = Seed % 2 == 0 ? milliseconds(600) : Pause;
  for (std::size_t First = 0; First < EngineCount; First += Overlap) {
    for (std::size_t Next = 0; Next < Overlap; ++Next)
      Fleet.setCondition(Order[First + Next], engine_condition::Silent);
    Fleet.pass(UntilGivenUp);
    for (std::size_t Next = 0; Next < Overlap; ++Next)
      Fleet.giveUp(Random() % VmCount, Order[First + Next],
                   requestOf(SharesSegmentOnly, First + Next));
    Fleet.pass(Pause - UntilGivenUp);
    for (std::size_t Next = 0; Next < Overlap; ++Next)
      Fleet.setCondition(Order[First + Next], engine_condition::Running);
  }
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    CHECK_FALSE(Fleet.isQuarantined(Vm, requestOf(SharesSegmentOnly, 0)));
  Fleet.pass(SettlingTime);
  checkNothingCounted(Fleet);
}

} // namespace

TEST_CASE("Engines that stand still for a second or so and go on are not "
          "counted as crashed") {
  for (const bool SharesSegmentOnly : {false, true})
    for (milliseconds Pause{600}; Pause <= milliseconds(2500);
         Pause += milliseconds(100))
      for (const std::size_t Overlap : {1, 3, 6})
        for (unsigned Seed = 0; Seed < 4; ++Seed)
          playSilence(SharesSegmentOnly, Pause, Overlap, Seed);
}

TEST_CASE("An engine that crashes silently and comes back is counted once, on "
          "all VMs, and the request refused after the third") {
  // The new process start is known by its entry, or by its report.
  for (const bool IsListed : {true, false}) {
    CAPTURE(IsListed);
    silent_fleet Fleet(VmCount, EngineCount);
    const admitted_request Request = silentRequest(7);
    for (std::size_t Crash = 0; Crash < 3; ++Crash) {
      for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
        CHECK_FALSE(Fleet.isQuarantined(Vm, Request));
      Fleet.setCondition(Crash, engine_condition::Silent);
      Fleet.pass(milliseconds(2000));
      Fleet.giveUp(Crash % VmCount, Crash, Request);
      Fleet.pass(milliseconds(3000));
      Fleet.restart(Crash, IsListed);
      Fleet.pass(DiscoveryTime);
      CHECK(Fleet.logged("endpoint_crash_counted") == Crash + 1);
      for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
        CHECK(Fleet.standingCrashes(Vm) == Crash + 1);
    }
    for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
      CHECK(Fleet.isQuarantined(Vm, Request));
    CHECK(Fleet.logged("endpoint_crash_refuted") == 0);
  }
}

TEST_CASE("A prompt segment is refused after three engines crashed silently "
          "under it, and not before") {
  silent_fleet Fleet(VmCount, EngineCount);
  for (std::size_t Crash = 0; Crash < 3; ++Crash) {
    for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
      CHECK_FALSE(Fleet.isQuarantined(Vm, requestOf(true, 100)));
    Fleet.setCondition(Crash, engine_condition::Silent);
    Fleet.giveUp(Crash % VmCount, Crash, requestOf(true, Crash));
    Fleet.pass(milliseconds(3000));
    Fleet.restart(Crash);
    Fleet.pass(DiscoveryTime);
  }
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    CHECK(Fleet.isQuarantined(Vm, requestOf(true, 100)));
}

TEST_CASE("An engine that stays silent is asked at a bounded rate for a "
          "bounded time and not counted") {
  silent_fleet Fleet(1, EngineCount);
  for (std::size_t Engine = 0; Engine < EngineCount; ++Engine)
    Fleet.setCondition(Engine, engine_condition::Silent);
  for (int Count = 0; Count < 40; ++Count)
    for (std::size_t Engine = 0; Engine < EngineCount; ++Engine)
      Fleet.giveUp(0, Engine, silentRequest(7));
  Fleet.pass(SettlingTime);
  CHECK(Fleet.logged("endpoint_crash_counted") == 0);
  CHECK(Fleet.logged("endpoint_crash_not_counted", "no_evidence") ==
        40 * EngineCount);
  CHECK(Fleet.unconfirmed(0) == 0);
  CHECK(Fleet.mostAtOnce() == 1);
  for (std::size_t Engine = 0; Engine < EngineCount; ++Engine) {
    CHECK(Fleet.inspections(Engine) >= 3);
    CHECK(Fleet.inspections(Engine) <= 10);
  }
  const std::size_t Before = Fleet.inspections(0);
  Fleet.pass(SettlingTime);
  CHECK(Fleet.inspections(0) == Before);
}

TEST_CASE("A silent engine is counted as crashed once nothing listens at its "
          "address, and not because of one refused connection") {
  silent_fleet Fleet(VmCount, EngineCount);
  Fleet.setCondition(0, engine_condition::Silent);
  Fleet.setCondition(1, engine_condition::Silent);
  Fleet.giveUp(0, 0, silentRequest(7));
  Fleet.giveUp(0, 1, silentRequest(7));
  Fleet.setCondition(0, engine_condition::Refusing);
  Fleet.setCondition(1, engine_condition::Refusing);
  Fleet.pass(milliseconds(300));
  Fleet.setCondition(1, engine_condition::Running);
  Fleet.pass(milliseconds(4000));
  CHECK(Fleet.logged("endpoint_crash_counted") == 1);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    CHECK(Fleet.standingCrashes(Vm) == 1);
}

TEST_CASE("A silent engine is counted as crashed once its entry stays away, "
          "and not if the same process start is listed again") {
  silent_fleet Fleet(VmCount, EngineCount);
  for (const std::size_t Engine : {0, 1}) {
    Fleet.setCondition(Engine, engine_condition::Silent);
    Fleet.giveUp(0, Engine, silentRequest(7));
    Fleet.unlist(Engine);
  }
  Fleet.pass(milliseconds(2000));
  CHECK(Fleet.logged("endpoint_crash_counted") == 0);
  Fleet.setCondition(1, engine_condition::Running);
  Fleet.list(1);
  Fleet.pass(milliseconds(4000));
  CHECK(Fleet.logged("endpoint_crash_counted") == 1);
  CHECK(Fleet.logged("endpoint_crash_not_counted", "silent") == 1);
}

TEST_CASE("A silent engine that has said that it leaves is not counted as "
          "crashed when it has left") {
  silent_fleet Fleet(VmCount, EngineCount);
  Fleet.setCondition(0, engine_condition::Silent);
  Fleet.setCondition(1, engine_condition::Silent);
  // Before it gives up, and after.
  Fleet.markLeaving(1);
  Fleet.giveUp(0, 0, silentRequest(7));
  Fleet.giveUp(0, 1, silentRequest(7));
  Fleet.unlist(1);
  Fleet.markLeaving(0);
  Fleet.pass(milliseconds(200));
  Fleet.unlist(0);
  Fleet.pass(SettlingTime);
  checkNothingCounted(Fleet);
}

TEST_CASE("Any byte of a silent engine refutes its crash, also if it ends "
          "later") {
  silent_fleet Fleet(VmCount, EngineCount);
  Fleet.setCondition(0, engine_condition::Silent);
  Fleet.giveUp(0, 0, silentRequest(7));
  Fleet.pass(milliseconds(900));
  Fleet.receive(0, 0);
  Fleet.pass(milliseconds(100));
  CHECK(Fleet.unconfirmed(0) == 0);
  Fleet.restart(0);
  Fleet.pass(SettlingTime);
  checkNothingCounted(Fleet);
}

TEST_CASE(
    "An engine on which several requests gave up gets new ones as soon as "
    "it has gone on") {
  silent_fleet Fleet(1, EngineCount);
  Fleet.setCondition(0, engine_condition::Silent);
  for (std::uint64_t Number = 0; Number < 8; ++Number)
    Fleet.giveUp(0, 0, silentRequest(Number));
  Fleet.pass(milliseconds(100));
  CHECK_FALSE(Fleet.isUsable(0, 0));
  Fleet.setCondition(0, engine_condition::Running);
  Fleet.pass(milliseconds(1300));
  CHECK(Fleet.isUsable(0, 0));
}

TEST_CASE("Nothing is asked or concluded over a lost path") {
  silent_fleet Fleet(VmCount, EngineCount);
  Fleet.setCondition(0, engine_condition::Silent);
  Fleet.giveUp(0, 0, silentRequest(7));
  Fleet.losePath(0);
  Fleet.restart(0);
  Fleet.pass(SettlingTime);
  CHECK(Fleet.logged("endpoint_crash_not_counted", "path_lost") == 1);
  CHECK(Fleet.inspections(0) == 0);
  checkNothingCounted(Fleet);
}

TEST_CASE("Silent engines that limit their rate or shed load are not asked") {
  silent_fleet Fleet(VmCount, EngineCount);
  for (const std::size_t Engine : {0, 1}) {
    Fleet.setCondition(Engine, engine_condition::Silent);
    Fleet.giveUp(0, Engine, silentRequest(7));
  }
  Fleet.limitRate(0);
  Fleet.shed(1, SettlingTime);
  Fleet.pass(SettlingTime);
  CHECK(Fleet.inspections(0) == 0);
  CHECK(Fleet.inspections(1) == 0);
  checkNothingCounted(Fleet);
}

TEST_CASE("The number of crashes that wait for evidence is bounded") {
  silent_fleet Fleet(1, 1);
  Fleet.setCondition(0, engine_condition::Silent);
  for (std::uint64_t Number = 0; Number < 5000; ++Number)
    Fleet.giveUp(0, 0, silentRequest(Number));
  CHECK(Fleet.unconfirmed(0) <= 4096);
  CHECK(Fleet.logged("endpoint_crash_not_counted", "too_many") > 0);
}

TEST_CASE("An engine that stands still for a second does not tell against its "
          "release, and one whose process start ended does") {
  for (const bool HasEnded : {false, true}) {
    CAPTURE(HasEnded);
    silent_fleet Fleet(VmCount, EngineCount);
    Fleet.setCondition(0, engine_condition::Silent);
    Fleet.pass(milliseconds(1000));
    for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
      Fleet.giveUpAndComplete(Vm, 0, silentRequest(Vm));
    if (HasEnded)
      Fleet.restart(0);
    else
      Fleet.setCondition(0, engine_condition::Running);
    Fleet.pass(DiscoveryTime);
    CHECK(Fleet.releaseFailures(0) == (HasEnded ? VmCount : 0));
    // The request was not to blame: it got its response elsewhere.
    checkNothingCounted(Fleet);
  }
}

TEST_CASE("An engine that stays silent tells against its release") {
  silent_fleet Fleet(VmCount, EngineCount);
  Fleet.setCondition(0, engine_condition::Silent);
  Fleet.giveUpAndComplete(0, 0, silentRequest(7));
  Fleet.pass(SettlingTime);
  CHECK(Fleet.releaseFailures(0) == 1);
}
