#pragma once

#include "LibPeer/rating_counts.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

enum class attempt_outcome {
  Answered,
  /// No connection, or a truncated or malformed response.
  Failed,
  /// The endpoint rejected the request because it is busy or leaving.
  Refused,
  Cancelled,
};

/// Outcome and measurements of a finished attempt.
struct attempt_report {
  attempt_outcome Outcome = attempt_outcome::Failed;
  /// Nullopt if no token arrived within TotalTime.
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
