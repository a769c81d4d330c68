#pragma once

#include "LibRouting/rating_pool.h"
#include "LibRouting/sequential_drop_test.h"

#include <map>
#include <string>
#include <utility>

namespace azurehaven {

enum class alarm_cause { None, Quality, Failures };

struct version_alarm {
  version_class Subject;
  alarm_cause Cause = alarm_cause::None;
  /// For the audit trail: the reference and what was seen.
  std::string Evidence;
};

/// Watches each version in each class for a drop of its ratings and for a
/// raised rate of failed or cut answers. Not thread-safe.
class version_health {
public:
  explicit version_health(drop_test_settings Settings) : Settings(Settings) {}

  /// For a version under roll-out: the mean score of what it replaces.
  void setIncumbentScore(const version_class &Subject, double Mean);
  /// Adds new counts, this VM's or a peer's, for the next evaluate().
  void add(const version_class &Subject, std::size_t Bucket,
           const rating_counts &Added);
  /// Runs the tests on what was added. Counts come apart by confidence, so that
  /// a part of a round alone would look better or worse than the whole.
  void evaluate();
  /// Starts anew after an operator has put a withdrawn version back.
  void reset(const version_id &Version);

  bool isSuspect(const version_class &Subject) const;
  bool isAlarmed(const version_id &Version) const;
  /// Alarms raised since the last call.
  std::vector<version_alarm> takeAlarms();

private:
  struct drop_tests {
    explicit drop_tests(drop_test_settings Settings)
        : Quality(Settings), Success(Settings) {}

    sequential_drop_test Quality;
    sequential_drop_test Success;
    rating_counts PendingCounts;
    rating_counts EvaluatedCounts;
    bool IsReported = false;
  };

  /// The tested pair and the stream of requests, see stratumOfBucket().
  using test_key = std::pair<version_class, std::size_t>;

  drop_tests &dropTestsOf(const test_key &Key);
  void reportAlarm(const version_class &Subject, drop_tests &Found);

  const drop_test_settings Settings;
  std::map<test_key, drop_tests> Tests;
  std::vector<version_alarm> Alarms;
};

} // namespace azurehaven
