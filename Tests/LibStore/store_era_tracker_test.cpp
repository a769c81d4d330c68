#include "LibStore/store_era_tracker.h"

#include <doctest/doctest.h>

using namespace azurehaven;

TEST_CASE("Responses of one era are current") {
  store_era_tracker Eras;
  const store_era SentIn = Eras.current();
  for (int Call = 0; Call < 3; ++Call)
    CHECK(Eras.onResponse(4, SentIn) == era_verdict::Current);
  CHECK(Eras.current() == SentIn);
}

TEST_CASE("A new number begins an era, and late responses are outdated") {
  store_era_tracker Eras;
  const store_era Before = Eras.current();
  CHECK(Eras.onResponse(4, Before) == era_verdict::Current);
  CHECK(Eras.onResponse(5, Before) == era_verdict::Restored);
  CHECK(Eras.current() > Before);
  CHECK(Eras.onResponse(4, Before) == era_verdict::Outdated);
  CHECK(Eras.onResponse(std::nullopt, Before) == era_verdict::Outdated);
  // Sent before the restoration was noticed, but served after it.
  CHECK(Eras.onResponse(5, Before) == era_verdict::Current);
}

TEST_CASE("A store that names no era has one era") {
  store_era_tracker Eras;
  CHECK(Eras.onResponse(std::nullopt, Eras.current()) == era_verdict::Current);
  CHECK(Eras.onResponse(1, Eras.current()) == era_verdict::Current);
  CHECK(Eras.onResponse(std::nullopt, Eras.current()) == era_verdict::Current);
  CHECK(Eras.onResponse(2, Eras.current()) == era_verdict::Restored);
}

TEST_CASE("One absurd number does not outdate all later responses") {
  store_era_tracker Eras;
  Eras.onResponse(4, Eras.current());
  CHECK(Eras.onResponse(~0ull, Eras.current()) == era_verdict::Restored);
  CHECK(Eras.onResponse(4, Eras.current()) == era_verdict::Restored);
  CHECK(Eras.onResponse(4, Eras.current()) == era_verdict::Current);
}
