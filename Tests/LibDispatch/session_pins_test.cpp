#include "LibDispatch/session_pins.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
const std::string Target = "v2";

std::string releaseOf(const session_pins &Pins, std::uint64_t Session,
                      steady_time Now, steady_time Since = Start) {
  const auto Pin = Pins.find(Session, Target, Since, Now);
  return Pin ? Pin->Release : "none";
}

} // namespace

TEST_CASE("A session keeps its release until the session gap has passed") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v1", Start);
  CHECK(releaseOf(Pins, 1, Start + milliseconds(5000)) == "v1");
  CHECK(releaseOf(Pins, 1, Start + milliseconds(7000)) == "none");
  CHECK(releaseOf(Pins, 2, Start) == "none");
}

TEST_CASE("An older pin of a session does not replace a newer one") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v3", Start + milliseconds(10));
  Pins.merge({1, "v1", Start});
  CHECK(releaseOf(Pins, 1, Start + milliseconds(20)) == "v3");
}

TEST_CASE("A request that ends late on the old release does not bring its "
          "session back") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v1", Start);
  Pins.addLocal(1, "v2", Start + milliseconds(10));
  Pins.addLocal(1, "v1", Start + milliseconds(900));
  CHECK(releaseOf(Pins, 1, Start + milliseconds(901)) == "v2");
}

TEST_CASE("A pin that arrives late does not bring its session back") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v2", Start);
  Pins.merge({1, "v1", Start + milliseconds(300)});
  CHECK(releaseOf(Pins, 1, Start + milliseconds(301)) == "v2");
}

TEST_CASE("A pin to the target from before its roll-out does not count more "
          "than a later one") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v2", Start);
  Pins.addLocal(1, "v1", Start + milliseconds(100));
  CHECK(releaseOf(Pins, 1, Start + milliseconds(300),
                  Start + milliseconds(200)) == "v1");
}

TEST_CASE("Only local pins are taken to be sent, each once") {
  session_pins Pins{milliseconds(5000)};
  Pins.merge({1, "v1", Start});
  Pins.addLocal(2, "v1", Start);
  const auto Unsent = Pins.takeUnsent();
  REQUIRE(Unsent.size() == 1);
  CHECK(Unsent.front().Session == 2);
  CHECK(Pins.takeUnsent().empty());
}

TEST_CASE("Expired pins are removed") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v1", Start);
  Pins.addLocal(1, "v2", Start + milliseconds(6000));
  Pins.expire(Start + milliseconds(10000));
  CHECK(Pins.size() == 1);
  Pins.expire(Start + milliseconds(16000));
  CHECK(Pins.size() == 0);
}
