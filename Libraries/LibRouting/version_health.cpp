#include "LibRouting/version_health.h"

#include <cstdio>

namespace azurehaven {

namespace {

/// Reference of the success test of every version: the share of answers that
/// are complete.
constexpr double ExpectedSuccessRate = 0.97;

std::string describeAlarm(const char *What, double Reference,
                          const rating_counts &Counts) {
  char Text[160];
  std::snprintf(Text, sizeof Text,
                "%s fell below %.3f after %llu ratings, %llu answers, "
                "%llu failures",
                What, Reference, static_cast<unsigned long long>(Counts.Count),
                static_cast<unsigned long long>(Counts.Successes),
                static_cast<unsigned long long>(Counts.Failures));
  return Text;
}

} // namespace

version_health::drop_tests &version_health::dropTestsOf(const test_key &Key) {
  auto [It, IsNew] = Tests.try_emplace(Key, Settings);
  if (IsNew)
    It->second.Success.setReference(ExpectedSuccessRate);
  return It->second;
}

void version_health::setIncumbentScore(const version_class &Subject,
                                       double Mean) {
  // Stratum 0: an incumbent's score is that of its direct answers.
  dropTestsOf({Subject, 0}).Quality.setReference(Mean);
}

void version_health::add(const version_class &Subject, std::size_t Bucket,
                         const rating_counts &Added) {
  dropTestsOf({Subject, stratumOfBucket(Bucket)}).PendingCounts += Added;
}

void version_health::evaluate() {
  for (auto &[Key, Found] : Tests) {
    const rating_counts Added = std::exchange(Found.PendingCounts, {});
    Found.EvaluatedCounts += Added;
    Found.Quality.add(Added.scoreSum(), static_cast<double>(Added.Count));
    const auto Answers = static_cast<double>(Added.Successes + Added.Failures);
    Found.Success.add(static_cast<double>(Added.Successes), Answers);
    reportAlarm(Key.first, Found);
  }
}

void version_health::reportAlarm(const version_class &Subject,
                                 drop_tests &DropTests) {
  if (DropTests.IsReported)
    return;
  if (DropTests.Quality.hasAlarmed()) {
    DropTests.IsReported = true;
    Alarms.push_back({Subject, alarm_cause::Quality,
                      describeAlarm("rating", *DropTests.Quality.reference(),
                                    DropTests.EvaluatedCounts)});
  } else if (DropTests.Success.hasAlarmed()) {
    DropTests.IsReported = true;
    Alarms.push_back(
        {Subject, alarm_cause::Failures,
         describeAlarm("share of whole answers", ExpectedSuccessRate,
                       DropTests.EvaluatedCounts)});
  }
}

void version_health::reset(const version_id &Version) {
  std::erase_if(Tests, [&](const auto &Entry) {
    return Entry.first.first.Version == Version;
  });
}

bool version_health::isSuspect(const version_class &Subject) const {
  // A version is suspect, and gets fewer requests, from half the alarm
  // threshold on.
  const double Level = Settings.Threshold / 2;
  for (auto It = Tests.lower_bound({Subject, 0});
       It != Tests.end() && It->first.first == Subject; ++It)
    if (It->second.Quality.statistic() >= Level ||
        It->second.Success.statistic() >= Level)
      return true;
  return false;
}

bool version_health::isAlarmed(const version_id &Version) const {
  for (const auto &[Key, Found] : Tests)
    if (Key.first.Version == Version &&
        (Found.Quality.hasAlarmed() || Found.Success.hasAlarmed()))
      return true;
  return false;
}

std::vector<version_alarm> version_health::takeAlarms() {
  return std::exchange(Alarms, {});
}

} // namespace azurehaven
