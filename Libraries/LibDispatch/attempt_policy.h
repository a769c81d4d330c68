#pragma once

#include "LibDispatch/dispatch_request.h"
#include "LibDispatch/route_table.h"

#include <optional>

namespace azurehaven {

/// Why one attempt at an endpoint gave no response that can be forwarded.
enum class attempt_failure {
  /// No byte can have reached the endpoint.
  NotSent,
  /// The endpoint reported that it did not execute the request.
  NotExecuted,
  /// The endpoint returned an error response.
  ErrorResponse,
  /// The endpoint ended the connection before a complete response.
  NoValidResponse,
  /// What came is no response that can be forwarded, so that this VM has ended
  /// the attempt. The endpoint goes on.
  Malformed,
  /// The connection is open, but the response makes no progress. The endpoint
  /// may be silent for a moment only.
  Silent,
  /// Nothing comes from the endpoint any more, also when it is asked.
  Unresponsive,
};

constexpr bool mayHaveRun(attempt_failure Failure) {
  return Failure == attempt_failure::ErrorResponse ||
         Failure == attempt_failure::NoValidResponse ||
         Failure == attempt_failure::Malformed ||
         Failure == attempt_failure::Silent ||
         Failure == attempt_failure::Unresponsive;
}

/// Time within which the request has to be answered, from its arrival on.
milliseconds timeLimitOf(const dispatch_request &Request, const route &Route);

/// A stable identifier for logs.
const char *nameOf(attempt_failure Failure);

/// Whether the request may be retried at another endpoint after this failure.
bool isRetryAllowed(const route &Route, attempt_failure Failure);

/// Time without progress after which an endpoint that is not an engine counts
/// as unresponsive. MeanLatencyMs: usual latency of the route, if known.
milliseconds plainIdleTimeout(const route &Route,
                              std::optional<double> MeanLatencyMs);

/// Time within which such an endpoint usually responds; never longer than
/// plainIdleTimeout().
milliseconds usualResponseTime(const route &Route,
                               std::optional<double> MeanLatencyMs);

/// The error response that the caller gets when no further attempt is made.
struct error_response {
  int Status = 503;
  std::optional<milliseconds> RetryAfter;
  /// A stable identifier for logs and metrics.
  const char *Reason = "";
};

/// 503 with a Retry-After time only if no attempt can have been executed;
/// otherwise 502, after which the outcome is unknown to the caller.
/// UntilAdmission: when the first endpoint takes requests again, if none does
/// now and that is known.
error_response
errorResponseFor(bool MayHaveRun, const char *Reason,
                 std::optional<milliseconds> UntilAdmission = std::nullopt);
/// The error response to a request for which no endpoint takes requests now.
error_response
noEndpointErrorResponse(bool MayHaveRun,
                        std::optional<milliseconds> UntilAdmission);
/// 503 or 504 by the same rule, for a request whose deadline has passed.
error_response deadlineErrorResponse(bool MayHaveRun);

} // namespace azurehaven
