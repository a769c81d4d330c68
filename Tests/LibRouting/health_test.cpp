#include "LibRouting/rating_pool.h"
#include "LibRouting/sequential_drop_test.h"
#include "LibRouting/version_health.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace azurehaven;

namespace {

const version_class Subject{version_id("m@1"), class_id("c")};

/// Returns the number of samples until the alarm; Limit if there is none.
std::size_t samplesToAlarm(sequential_drop_test &Test, double Mean,
                           std::mt19937_64 &Random, std::size_t Limit) {
  std::bernoulli_distribution IsGood(Mean);
  for (std::size_t Count = 1; Count <= Limit; ++Count)
    if (Test.add(IsGood(Random) ? 1 : 0, 1))
      return Count;
  return Limit;
}

/// Lower bound of the mean delay of any test with a mean of e^11.5 samples
/// between false alarms.
double delayBound(double Good, double Bad) {
  return 11.5 / (Bad * std::log(Bad / Good) +
                 (1 - Bad) * std::log((1 - Bad) / (1 - Good)));
}

} // namespace

TEST_CASE("the mean delay to detect a drop is at most twice the lower bound") {
  for (const auto &[Good, Bad] :
       {std::pair(0.9, 0.8), std::pair(0.9, 0.4), std::pair(0.95, 0.85)}) {
    double Total = 0;
    const int Runs = 40;
    for (int Seed = 0; Seed < Runs; ++Seed) {
      std::mt19937_64 Random(static_cast<std::uint64_t>(Seed));
      sequential_drop_test Test({});
      REQUIRE(samplesToAlarm(Test, Good, Random, 2000) == 2000);
      Total += static_cast<double>(samplesToAlarm(Test, Bad, Random, 100000));
    }
    CHECK(Total / Runs <= 2 * delayBound(Good, Bad));
  }
}

TEST_CASE("a steady version raises no alarm in 20 runs of 20,000 samples") {
  for (int Seed = 0; Seed < 20; ++Seed) {
    std::mt19937_64 Random(static_cast<std::uint64_t>(1000 + Seed));
    sequential_drop_test Test({});
    CHECK(samplesToAlarm(Test, 0.88, Random, 20000) == 20000);
  }
}

TEST_CASE("hard requests that are counted before easy ones raise no alarm") {
  // Each round adds the counts of the hard requests (low confidence) before
  // those of the easy ones.
  version_health Health({});
  for (int Round = 0; Round < 400; ++Round) {
    Health.add(Subject, 0, {25, 18000, 25, 0});
    Health.add(Subject, 3, {25, 25000, 25, 0});
    Health.evaluate();
  }
  CHECK(Health.takeAlarms().empty());
}

TEST_CASE("failed answers alone raise an alarm") {
  version_health Health({});
  for (int Round = 0; Round < 100; ++Round) {
    Health.add(Subject, 0, {0, 0, 3, 2});
    Health.evaluate();
  }
  const auto Alarms = Health.takeAlarms();
  REQUIRE(Alarms.size() == 1);
  CHECK(Alarms[0].Cause == alarm_cause::Failures);
  CHECK(Health.isAlarmed(Subject.Version));
  Health.reset(Subject.Version);
  CHECK_FALSE(Health.isAlarmed(Subject.Version));
}

TEST_CASE("reordered and repeated notices are counted once") {
  rating_pool Here(vm_id("a"), 1);
  rating_pool There(vm_id("b"), 1);
  std::vector<rating_notice> Notices;
  for (int Round = 0; Round < 5; ++Round) {
    There.addLocalCounts(Subject, 1, {2, 1500, 2, 0});
    for (auto &Notice : There.takeNotices())
      Notices.push_back(Notice);
  }
  std::mt19937 Random(5);
  for (int Round = 0; Round < 3; ++Round) {
    std::shuffle(Notices.begin(), Notices.end(), Random);
    for (const auto &Notice : Notices)
      (void)Here.mergeNotice(Notice);
  }
  CHECK(Here.pooledCounts(Subject)[1] == rating_counts{10, 7500, 10, 0});
}

TEST_CASE("a restarted origin's counts add to its earlier ones") {
  rating_pool Here(vm_id("a"), 1);
  rating_notice Notice{vm_id("b"), 1, Subject.Version, Subject.Class, {}};
  Notice.Buckets[0] = {4, 4000, 4, 0};
  CHECK(Here.mergeNotice(Notice));
  Notice.Incarnation = 2;
  Notice.Buckets[0] = {1, 0, 1, 0};
  CHECK(Here.mergeNotice(Notice));
  CHECK(Here.pooledCounts(Subject)[0].Count == 5);
  Notice.Buckets[0] = {3, 9000, 3, 0};
  CHECK_FALSE(Here.mergeNotice(Notice));
}
