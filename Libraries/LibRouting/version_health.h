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
  /// For the audit log: the reference and the observed counts.
  std::string Evidence;
};

/// Tests each version in each class for a drop of its ratings and for an
/// increased rate of failed or truncated answers. Not thread-safe.
class version_health {
public:
  explicit version_health(drop_test_settings Settings) : Settings(Settings) {}

  /// Sets the reference of a version under roll-out: the mean score of its
  /// incumbent.
  void setIncumbentScore(const version_class &Subject, double Mean);
  /// Adds counts of this VM or a peer, to be tested by the next evaluate().
  void add(const version_class &Subject, std::size_t Bucket,
           const rating_counts &Added);
  /// Runs the tests on the counts added since the last call, all buckets of a
  /// stratum together: add() gets them bucket by bucket, and the mean score of
  /// one confidence bucket is higher or lower than that of the stratum.
  void evaluate();
  /// Restarts the tests of a version that an operator has reinstated after a
  /// withdrawal.
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

  /// Version, class and stratum, see stratumOfBucket().
  using test_key = std::pair<version_class, std::size_t>;

  drop_tests &dropTestsOf(const test_key &Key);
  void reportAlarm(const version_class &Subject, drop_tests &DropTests);

  const drop_test_settings Settings;
  std::map<test_key, drop_tests> Tests;
  std::vector<version_alarm> Alarms;
};

} // namespace azurehaven
