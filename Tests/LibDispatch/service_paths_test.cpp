#include "LibDispatch/service_paths.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const service_id Service("s");
const vm_id Peer("vm-2");
constexpr std::size_t EndpointCount = 4;

endpoint_id idOf(int Number) {
  return endpoint_id("e" + std::to_string(Number));
}

struct watched_path : service_paths {
  std::optional<path_change> failAt(int Number, steady_time Now) {
    return onUnreachable(Service, idOf(Number), EndpointCount, Now);
  }
  std::optional<path_change> leaveUnanswered(int Number, steady_time StartedAt,
                                             steady_time Now) {
    return onUnanswered(Service, idOf(Number), EndpointCount, StartedAt, Now);
  }
  /// The peer receives something from this process start.
  void letPeerReach(int Number, steady_time At) {
    onPeerReached(Peer, Service, {At, startHashOf(idOf(Number))});
  }
  std::optional<path_change> reviewAt(steady_time Now) {
    return review(Service, EndpointCount, Now);
  }
};

/// A path that was lost at Start.
watched_path lostPath() {
  watched_path Path;
  Path.failAt(0, Start - milliseconds(300));
  Path.failAt(1, Start - milliseconds(300));
  Path.letPeerReach(0, Start - milliseconds(100));
  Path.reviewAt(Start);
  REQUIRE(Path.isLost(Service));
  return Path;
}

} // namespace

TEST_CASE("A path is lost if endpoints can't be connected to that another VM "
          "still reaches") {
  watched_path Path;
  CHECK_FALSE(Path.failAt(0, Start));
  CHECK_FALSE(Path.failAt(0, Start));
  CHECK_FALSE(Path.failAt(1, Start));
  const steady_time Now = Start + milliseconds(400);
  CHECK_FALSE(Path.reviewAt(Now));
  Path.letPeerReach(0, Start + milliseconds(300));
  const auto Change = Path.reviewAt(Now);
  REQUIRE(Change);
  CHECK(Change->Direction == path_change::direction::Lost);
  CHECK(Change->Endpoints == std::vector<endpoint_id>{idOf(0), idOf(1)});
  CHECK(Change->Witness == Peer);
  CHECK(Change->WitnessAge == milliseconds(100));
  CHECK(Path.lostSince(Service) == Now);
  CHECK_FALSE(Path.failAt(2, Now));
}

TEST_CASE("What another VM received before an endpoint could not be connected "
          "to does not show that the path is lost") {
  watched_path Path;
  for (const int Number : {0, 1})
    Path.letPeerReach(Number, Start);
  CHECK_FALSE(Path.failAt(0, Start));
  CHECK_FALSE(Path.failAt(1, Start + milliseconds(10)));
  CHECK_FALSE(Path.reviewAt(Start + milliseconds(400)));
}

TEST_CASE("What another VM receives from other process starts does not show "
          "that the path is lost") {
  watched_path Path;
  Path.failAt(0, Start);
  Path.failAt(1, Start);
  Path.letPeerReach(2, Start + milliseconds(300));
  CHECK_FALSE(Path.reviewAt(Start + milliseconds(400)));
}

TEST_CASE("A VM of an earlier build shows that the path is lost by what it "
          "receives later") {
  watched_path Path;
  Path.onPeerReached(Peer, Service, {Start, std::nullopt});
  Path.failAt(0, Start);
  Path.failAt(1, Start);
  CHECK_FALSE(Path.reviewAt(Start + milliseconds(400)));
  Path.onPeerReached(Peer, Service, {Start + milliseconds(300), std::nullopt});
  CHECK(Path.reviewAt(Start + milliseconds(400)));
}

TEST_CASE("Endpoints that nobody reaches are gone; the path is not lost") {
  watched_path Path;
  Path.letPeerReach(0, Start - milliseconds(3000));
  for (int Number = 0; Number < 4; ++Number)
    CHECK_FALSE(Path.failAt(Number, Start));
  CHECK_FALSE(Path.reviewAt(Start + milliseconds(400)));
  CHECK_FALSE(Path.isLost(Service));
}

TEST_CASE("Endpoints that fail beside others that can be connected to are "
          "gone") {
  watched_path Path;
  Path.failAt(0, Start);
  Path.onConnected(Service, Start);
  for (const int Number : {0, 1})
    Path.letPeerReach(Number, Start + milliseconds(300));
  CHECK_FALSE(Path.failAt(1, Start + milliseconds(100)));
  CHECK_FALSE(Path.failAt(0, Start + milliseconds(3000)));
}

TEST_CASE("The path to a service with a single endpoint can be lost") {
  watched_path Path;
  CHECK_FALSE(Path.onUnreachable(Service, idOf(0), 1, Start));
  Path.letPeerReach(0, Start + milliseconds(300));
  CHECK(Path.review(Service, 1, Start + milliseconds(400)));
}

TEST_CASE("Services are told apart") {
  const watched_path Path = lostPath();
  CHECK_FALSE(Path.isLost(service_id("other")));
  CHECK(Path.lostServices() == std::vector<service_id>{Service});
}

TEST_CASE("A path is back after two probes in a row") {
  watched_path Path = lostPath();
  CHECK_FALSE(Path.onProbed(Service, idOf(0), true));
  CHECK_FALSE(Path.onProbed(Service, idOf(1), false));
  CHECK_FALSE(Path.onProbed(Service, idOf(2), true));
  CHECK(Path.isLost(Service));
  const auto Change = Path.onProbed(Service, idOf(3), true);
  REQUIRE(Change);
  CHECK(Change->Direction == path_change::direction::Regained);
  CHECK_FALSE(Path.isLost(Service));
  CHECK_FALSE(Path.failAt(0, Start + milliseconds(10)));
}

TEST_CASE("A connection made before the loss does not bring the path back") {
  watched_path Path = lostPath();
  Path.onConnected(Service, Start);
  CHECK(Path.isLost(Service));
}

TEST_CASE("Crashes of some endpoints of many are no lost path while others "
          "respond on older connections") {
  watched_path Path;
  for (int Number = 0; Number < 6; ++Number) {
    const steady_time Now = Start + milliseconds(200 * Number);
    Path.letPeerReach(0, Now);
    Path.onReceived(Service, startHashOf(idOf(9)), Now);
    CHECK_FALSE(Path.onUnreachable(Service, idOf(Number), 40, Now));
  }
}

TEST_CASE("The path is lost although older connections live on, if a third of "
          "the endpoints can't be connected to") {
  watched_path Path;
  for (int Number = 0; Number < 4; ++Number) {
    const steady_time Now = Start + milliseconds(200 * Number);
    Path.letPeerReach(0, Now);
    Path.onReceived(Service, startHashOf(idOf(9)), Now);
    CHECK(Path.onUnreachable(Service, idOf(Number), 12, Now).has_value() ==
          (Number == 3));
  }
}

TEST_CASE("Process starts that stand still for a second and go on do not make "
          "the path look lost") {
  for (milliseconds GoOn{650}; GoOn <= milliseconds(2500);
       GoOn += milliseconds(50)) {
    watched_path Path;
    CAPTURE(GoOn.count());
    for (milliseconds Passed{0}; Passed < milliseconds(5000);
         Passed += milliseconds(50)) {
      const steady_time Now = Start + Passed;
      // Asked again and again, each for 600 ms, until they go on.
      const bool IsAsked = Passed > milliseconds(0) && Passed < GoOn &&
                           Passed.count() % 700 == 600;
      for (int Number = 0; IsAsked && Number < 3; ++Number)
        CHECK_FALSE(Path.leaveUnanswered(Number, Now - milliseconds(600), Now));
      // The peer hears from them up to the pause and after it.
      if (Passed == milliseconds(0) || Passed >= GoOn)
        for (int Number = 0; Number < 3; ++Number)
          Path.letPeerReach(Number, Now);
      CHECK_FALSE(Path.reviewAt(Now));
    }
  }
}

TEST_CASE("A path is lost if process starts do not respond while another VM "
          "receives something from them") {
  watched_path Path;
  const steady_time End = Start + milliseconds(600);
  CHECK_FALSE(Path.leaveUnanswered(0, Start, End));
  CHECK_FALSE(Path.leaveUnanswered(1, Start, End));
  Path.letPeerReach(0, Start + milliseconds(300));
  CHECK(Path.reviewAt(End + milliseconds(100)));
}
