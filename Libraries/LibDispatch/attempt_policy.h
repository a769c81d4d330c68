#pragma once

#include "LibDispatch/route_table.h"

#include <optional>

namespace azurehaven {

/// How one send to an endpoint ended without an answer to pass on.
enum class attempt_failure {
  /// No byte can have reached the endpoint.
  NotSent,
  /// The endpoint says that it did not run the request.
  NotExecuted,
  /// The endpoint answered with a failure of its own.
  ErrorResponse,
  /// The answer was cut, malformed, late or never came.
  NoValidResponse,
};

constexpr bool mayHaveRun(attempt_failure Failure) {
  return Failure == attempt_failure::ErrorResponse ||
         Failure == attempt_failure::NoValidResponse;
}

/// Whether the request may be sent to another endpoint after this failure.
bool isRetryAllowed(const route &Route, attempt_failure Failure);

/// What the caller is told when nothing can be done any more.
struct error_response {
  int Status = 503;
  std::optional<milliseconds> RetryAfter;
  /// Stable, for logs and metrics.
  const char *Reason = "";
};

/// 503 with a time to come back only if no send can have run; 502 otherwise,
/// which promises nothing.
error_response errorResponseFor(bool MayHaveRun, const char *Reason);
/// 503 or 504 by the same rule, for a request whose time is over.
error_response deadlineErrorResponse(bool MayHaveRun);

} // namespace azurehaven
