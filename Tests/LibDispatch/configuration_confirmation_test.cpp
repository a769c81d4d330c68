#include "LibDispatch/configuration_confirmation.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};
constexpr milliseconds Bound{5000};

} // namespace

TEST_CASE("Nothing is current before the first confirmation") {
  configuration_confirmation Confirmation{Bound};
  CHECK_FALSE(Confirmation.isCurrent(Start));
  CHECK_FALSE(Confirmation.age(Start));
}

TEST_CASE("A confirmation holds for part of the revocation bound") {
  configuration_confirmation Confirmation{Bound};
  Confirmation.confirm(Start);
  CHECK(Confirmation.isCurrent(Start + milliseconds(3800)));
  CHECK_FALSE(Confirmation.isCurrent(Start + milliseconds(3801)));
}

TEST_CASE("A key taken away in a second that the watch missed is refused") {
  configuration_confirmation Confirmation{Bound};
  // The key went when the second began; the watch then confirmed its end.
  constexpr milliseconds MissedTime{1000};
  Confirmation.confirm(Start + MissedTime);
  CHECK_FALSE(Confirmation.isCurrent(Start + Bound));
}

TEST_CASE("Older news does not make the configuration younger or older") {
  configuration_confirmation Confirmation{Bound};
  Confirmation.confirm(Start);
  Confirmation.confirm(Start - milliseconds(1000));
  CHECK(Confirmation.age(Start + milliseconds(10)) == milliseconds(10));
}

TEST_CASE("Without the bound a VM serves on what it knows") {
  const configuration_confirmation Confirmation{std::nullopt};
  CHECK(Confirmation.isCurrent(Start));
}

TEST_CASE("A quiet watch confirms the end of the store's own wait only") {
  constexpr milliseconds Wait{2000};
  const auto Confirmed =
      confirmationTimeOfIdleWatch(Start, Wait, Start + milliseconds(2010));
  CHECK(Confirmed > Start + milliseconds(1900));
  CHECK(Confirmed <= Start + Wait);
}

TEST_CASE("A response read after a freeze confirms no time of the freeze") {
  constexpr milliseconds Wait{2000};
  const auto Confirmed = confirmationTimeOfIdleWatch(
      Start, Wait, Start + std::chrono::seconds(30));
  CHECK(Confirmed <= Start + Wait);
}

TEST_CASE("A watch that returns early confirms its sending only") {
  CHECK(confirmationTimeOfIdleWatch(Start, milliseconds(2000),
                                    Start + milliseconds(100)) == Start);
}
