#pragma once

#include "LibPeer/rating_counts.h"
#include "LibRouting/endpoint_table.h"

namespace azurehaven {

/// Outcome and measurements of a finished attempt.
struct attempt_report {
  attempt_outcome Outcome = attempt_outcome::Failed;
  std::optional<milliseconds> TimeToFirstToken;
  milliseconds TotalTime{0};
  token_count PromptTokens;
  token_count CompletionTokens;
  double Confidence = 1;
  answer_role Role = answer_role::Direct;
  /// Whether a token had arrived. A failure counts against the version only
  /// then.
  bool HadStartedAnswer = false;
  /// Whether the endpoint may have run the request. An attempt that never
  /// reached its endpoint tells nothing of the version's latency.
  bool MayHaveRun = false;
  /// Whether the class's deadline passed before the answer was complete.
  bool IsPastDeadline = false;
};

} // namespace azurehaven
