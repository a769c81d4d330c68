#include "LibLog/log_rate_limiter.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("Routine lines beyond the rate are dropped and counted by event") {
  log_rate_limiter Limiter{log_rate_limiter::limits{}};
  int Admitted = 0;
  for (int Index = 0; Index < 10000; ++Index)
    Admitted += Limiter.admit(log_level::Info, "sent", 0, Start);
  CHECK(Admitted == 1200);
  const auto DroppedCounts = Limiter.takeDroppedCounts();
  CHECK(DroppedCounts.at("sent") == 8800);
  CHECK(Limiter.takeDroppedCounts().empty());
}

TEST_CASE("Important lines are admitted while routine ones are dropped") {
  log_rate_limiter Limiter{log_rate_limiter::limits{}};
  while (Limiter.admit(log_level::Info, "sent", 0, Start))
    ;
  CHECK(Limiter.admit(log_level::Warning, "failed", 0, Start));
  // With a slow reader routine lines are dropped first.
  log_rate_limiter SlowReader{log_rate_limiter::limits{}};
  constexpr std::size_t QueuedBytes = 600000;
  CHECK_FALSE(SlowReader.admit(log_level::Info, "sent", QueuedBytes, Start));
  CHECK(SlowReader.admit(log_level::Warning, "failed", QueuedBytes, Start));
}

TEST_CASE("Lines are admitted again when tokens have been refilled") {
  log_rate_limiter Limiter{log_rate_limiter::limits{}};
  while (Limiter.admit(log_level::Info, "sent", 0, Start))
    ;
  CHECK(Limiter.admit(log_level::Info, "sent", 0, Start + milliseconds(1000)));
}
