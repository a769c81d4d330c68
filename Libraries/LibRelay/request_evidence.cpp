#include "LibRelay/request_evidence.h"

namespace azurehaven {

void request_evidence::countFailures(release_evidence &Evidence,
                                     steady_time Now) {
  const bool FailsAnywhere = Failures.size() > 1 && !HasSucceeded;
  if (!FailsAnywhere)
    for (const evidence_key &Key : Failures)
      Evidence.addFailure(Key, Now);
  Failures.clear();
}

} // namespace azurehaven
