#include "LibDispatch/session_pins.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("A session keeps its release until the session gap has passed") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v1", Start);
  CHECK(Pins.releaseOf(1, Start + milliseconds(5000)) == "v1");
  CHECK_FALSE(Pins.releaseOf(1, Start + milliseconds(7000)));
  CHECK_FALSE(Pins.releaseOf(2, Start));
}

TEST_CASE("An older pin of a session does not replace a newer one") {
  session_pins Pins{milliseconds(5000)};
  Pins.addLocal(1, "v2", Start + milliseconds(10));
  Pins.merge({1, "v1", Start});
  CHECK(Pins.releaseOf(1, Start + milliseconds(20)) == "v2");
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
  Pins.expire(Start + milliseconds(10000));
  CHECK(Pins.size() == 0);
}
