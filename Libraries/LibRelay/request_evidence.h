#pragma once

#include "LibRollout/release_evidence.h"

#include <vector>

namespace azurehaven {

/// What the attempts of one plain request tell of the releases that they were
/// sent to. A request that fails wherever it is sent tells of itself only.
class request_evidence {
public:
  void addFailure(evidence_key Key) { Failures.push_back(std::move(Key)); }
  void addSuccess() { HasSucceeded = true; }
  /// Counts the failures once the request has ended.
  void countFailures(release_evidence &Evidence, steady_time Now);

private:
  std::vector<evidence_key> Failures;
  bool HasSucceeded = false;
};

} // namespace azurehaven
