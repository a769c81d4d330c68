#include "LibDispatch/configuration_confirmation.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
constexpr milliseconds Bound{5000};

} // namespace

TEST_CASE("The configuration is not current before the first confirmation") {
  configuration_confirmation Confirmation{Bound};
  CHECK_FALSE(Confirmation.isCurrent(Start));
  CHECK_FALSE(Confirmation.age(Start));
}

TEST_CASE("A confirmation is valid for a fraction of the revocation bound") {
  configuration_confirmation Confirmation{Bound};
  Confirmation.confirm(Start);
  CHECK(Confirmation.isCurrent(Start + milliseconds(3800)));
  CHECK_FALSE(Confirmation.isCurrent(Start + milliseconds(3801)));
}

TEST_CASE(
    "A key revoked in a second that the watch missed is refused in time") {
  configuration_confirmation Confirmation{Bound};
  // The key was revoked at the start of the second, and the watch confirmed the
  // configuration at its end.
  constexpr milliseconds MissedTime{1000};
  Confirmation.confirm(Start + MissedTime);
  CHECK_FALSE(Confirmation.isCurrent(Start + Bound));
}

TEST_CASE("An older confirmation does not change the age") {
  configuration_confirmation Confirmation{Bound};
  Confirmation.confirm(Start);
  Confirmation.confirm(Start - milliseconds(1000));
  CHECK(Confirmation.age(Start + milliseconds(10)) == milliseconds(10));
}

TEST_CASE("Without a revocation bound the configuration is always current") {
  const configuration_confirmation Confirmation{std::nullopt};
  CHECK(Confirmation.isCurrent(Start));
}

TEST_CASE(
    "A watch without changes confirms the configuration until its wait ended") {
  constexpr milliseconds Wait{2000};
  const auto Confirmed =
      confirmationTimeOfIdleWatch(Start, Wait, Start + milliseconds(2010));
  CHECK(Confirmed > Start + milliseconds(1900));
  CHECK(Confirmed <= Start + Wait);
}

TEST_CASE(
    "A response read after a suspension does not confirm the suspended time") {
  constexpr milliseconds Wait{2000};
  const auto Confirmed = confirmationTimeOfIdleWatch(
      Start, Wait, Start + std::chrono::seconds(30));
  CHECK(Confirmed <= Start + Wait);
}

TEST_CASE("A watch that returns early confirms only the time of its request") {
  CHECK(confirmationTimeOfIdleWatch(Start, milliseconds(2000),
                                    Start + milliseconds(100)) == Start);
}
