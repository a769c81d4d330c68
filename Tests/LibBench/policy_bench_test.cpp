#include "LibBench/policy_bench.h"

#include <doctest/doctest.h>

using namespace azurehaven;
using namespace azurehaven::bench;

namespace {

constexpr std::uint64_t Seeds[] = {1, 2, 3};
/// Design targets. Cost and latency are relative to the oracle, exposure to its
/// lower bound; fairness is the share of the other accounts' requests on time.
constexpr double CostTarget = 1.10;
constexpr double LatencyTarget = 1.3;
constexpr double ExposureTarget = 2.0;
constexpr double FairnessTarget = 0.95;

bench_outcome runCase(bench_case Case, const char *Policy, std::uint64_t Seed,
                      bool RatingsArePooled = true) {
  bench_settings Settings;
  Settings.Case = Case;
  Settings.Policy = Policy;
  Settings.Seed = Seed;
  Settings.RatingsArePooled = RatingsArePooled;
  return runPolicyBench(kairnsWorkload(), Settings);
}

template <typename Value> double meanOver(Value Of) {
  double Total = 0;
  for (std::uint64_t Seed : Seeds)
    Total += Of(Seed);
  return Total / static_cast<double>(std::size(Seeds));
}

} // namespace

TEST_CASE("the same seed gives the same run") {
  const auto First = runCase(bench_case::Steady, "azurehaven", 5);
  const auto Again = runCase(bench_case::Steady, "azurehaven", 5);
  CHECK(First.CostPerRequest == Again.CostPerRequest);
  CHECK(First.Answered == Again.Answered);
}

TEST_CASE("steady load: quality, cost and latency against the oracle") {
  for (std::size_t Class = 0; Class < 3; ++Class) {
    double Target = 0;
    const double Quality = meanOver([&](std::uint64_t Seed) {
      const auto Outcome = runCase(bench_case::Steady, "azurehaven", Seed);
      Target = Outcome.Classes[Class].QualityTarget;
      return Outcome.Classes[Class].Quality;
    });
    CHECK(Quality >= Target);
  }
  const auto Ratio = [](auto Of) {
    return meanOver([&](std::uint64_t Seed) {
      return Of(runCase(bench_case::Steady, "azurehaven", Seed)) /
             Of(runCase(bench_case::Steady, "oracle", Seed));
    });
  };
  CHECK(Ratio([](const bench_outcome &Outcome) {
          return Outcome.CostPerRequest;
        }) <= CostTarget);
  CHECK(Ratio([](const bench_outcome &Outcome) {
          return Outcome.FirstTokenP95Ms;
        }) <= LatencyTarget);
}

TEST_CASE("a version whose quality drops by 0.5 is withdrawn near the exposure "
          "bound") {
  // The mean quality drops from 0.88 to 0.38 in the class that uses the version
  // most. Ratings arrive 2 s late, so the requests of that time, 6 per second,
  // are served before the drop can be detected.
  constexpr double LogSamples = 11.5;
  constexpr double RequestsDuringRatingDelay = 2 * 6;
  const double Bound =
      exposureLowerBound(0.88, 0.38, LogSamples) + RequestsDuringRatingDelay;
  const double Served = meanOver([](std::uint64_t Seed) {
    const auto Outcome = runCase(bench_case::VeryBad, "azurehaven", Seed);
    CHECK(Outcome.WasWithdrawn);
    CHECK(Outcome.FalseAlarms == 0);
    return static_cast<double>(Outcome.BadServed);
  });
  CHECK(Served <= ExposureTarget * Bound);
}

TEST_CASE(
    "an account within its share is served on time while another floods") {
  CHECK(meanOver([](std::uint64_t Seed) {
          return runCase(bench_case::Flood, "azurehaven", Seed)
              .OtherAccountsOnTime;
        }) >= FairnessTarget);
}

TEST_CASE("a crash-causing request crashes at most two engines") {
  for (std::uint64_t Seed : Seeds)
    CHECK(runCase(bench_case::CrashCausing, "azurehaven", Seed).EngineCrashes <=
          2);
}
