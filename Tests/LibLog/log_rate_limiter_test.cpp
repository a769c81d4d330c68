#include "LibLog/log_rate_limiter.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("A flood of routine lines is bounded and counted by kind") {
  log_rate_limiter Budget{log_rate_limiter::limits{}};
  int Admitted = 0;
  for (int Index = 0; Index < 10000; ++Index)
    Admitted += Budget.admit(log_level::Info, "sent", 0, Start);
  CHECK(Admitted == 1200);
  const auto LeftOut = Budget.takeDroppedCounts();
  CHECK(LeftOut.at("sent") == 8800);
  CHECK(Budget.takeDroppedCounts().empty());
}

TEST_CASE("A failed request keeps its lines while routine ones are left out") {
  log_rate_limiter Budget{log_rate_limiter::limits{}};
  while (Budget.admit(log_level::Info, "sent", 0, Start))
    ;
  CHECK(Budget.admit(log_level::Warning, "failed", 0, Start));
  // A slow reader costs routine lines first.
  log_rate_limiter Slow{log_rate_limiter::limits{}};
  constexpr std::size_t Waiting = 600000;
  CHECK_FALSE(Slow.admit(log_level::Info, "sent", Waiting, Start));
  CHECK(Slow.admit(log_level::Warning, "failed", Waiting, Start));
}

TEST_CASE("Lines are written again once the flood is over") {
  log_rate_limiter Budget{log_rate_limiter::limits{}};
  while (Budget.admit(log_level::Info, "sent", 0, Start))
    ;
  CHECK(Budget.admit(log_level::Info, "sent", 0, Start + milliseconds(1000)));
}
