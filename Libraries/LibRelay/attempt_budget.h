#pragma once

#include "LibDispatch/attempt_policy.h"
#include "LibRelay/admitted_request.h"

namespace azurehaven {

/// The sends and runs that one request has used of those that its route, the VM
/// that forwarded it and its time limit allow.
class attempt_budget {
public:
  attempt_budget(const admitted_request &Admitted, steady_time ArrivedAt);

  steady_time arrivedAt() const { return ArrivedAt; }
  milliseconds timeLimit() const { return TimeLimit; }
  /// Not positive once the time limit has passed.
  milliseconds timeLeft(steady_time Now) const;

  void countSend() { ++SendCount; }
  /// Counts runs that endpoints may have made.
  void countRuns(int Count) { RunCount += Count; }
  int sends() const { return SendCount; }
  /// Includes the runs on the VM that forwarded the request.
  int runs() const { return RunCount; }
  int runsLeft() const;
  bool mayHaveRun() const { return RunCount > 0; }
  /// Whether the request may be sent while it may be running so often on other
  /// endpoints. Every send passes this, whatever its reason: a request that
  /// must not run again may be sent only until it may have run.
  bool allowsSend(int LiveRuns) const;
  /// Whether a response may be dropped and the request run once more.
  bool allowsRerun() const;
  /// Whether one more attempt may follow one that failed like this, which has
  /// been counted.
  bool allowsRetryAfter(attempt_failure Failure, steady_time Now) const;

private:
  const route &Route;
  const steady_time ArrivedAt;
  const milliseconds TimeLimit;
  const int MaxRuns;
  int SendCount = 0;
  int RunCount = 0;
};

} // namespace azurehaven
