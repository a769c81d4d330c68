#include "LibRouting/latency_outcome.h"

namespace azurehaven {

latency_outcome latencyOutcomeOf(const work_class &Class,
                                 const attempt_report &Report) {
  if (Report.Outcome == attempt_outcome::Refused || !Report.MayHaveRun)
    return latency_outcome::Unknown;
  if (Report.IsPastDeadline)
    return latency_outcome::Late;
  // Without a first token, the time so far is the least that it takes.
  const milliseconds FirstToken =
      Report.TimeToFirstToken.value_or(Report.TotalTime);
  if (FirstToken > Class.FirstTokenTarget)
    return latency_outcome::Late;
  if (Report.TimeToFirstToken || Report.Outcome == attempt_outcome::Answered)
    return latency_outcome::InTime;
  return Report.Outcome == attempt_outcome::Failed ? latency_outcome::Late
                                                   : latency_outcome::Unknown;
}

} // namespace azurehaven
