#include "LibDispatch/attempt_policy.h"

#include <algorithm>
#include <cmath>

namespace azurehaven {

namespace {

/// Long enough for an endpoint to free a slot, or for a replacement endpoint to
/// be registered.
constexpr milliseconds RetryAfterDelay{500};
/// A plain service normally responds within tens of milliseconds.
constexpr milliseconds MinimumIdleTimeout{300};
/// Used if the route sets no timeout. A caller's deadline can only shorten it.
constexpr milliseconds DefaultTimeLimit{30000};
/// Subtracted from the caller's deadline, so that the response arrives in time.
constexpr milliseconds DeadlineMargin{20};
/// Multiple of the usual latency that a sound but loaded endpoint may take.
constexpr double UsualLatencyFactor = 4;

} // namespace

milliseconds usualResponseTime(const route &Route,
                               std::optional<double> MeanLatencyMs) {
  if (MeanLatencyMs)
    return milliseconds(std::llround(UsualLatencyFactor * *MeanLatencyMs));
  return Route.LatencyObjective.count() > 0 ? Route.LatencyObjective
                                            : MinimumIdleTimeout;
}

milliseconds plainIdleTimeout(const route &Route,
                              std::optional<double> MeanLatencyMs) {
  const milliseconds Usual = usualResponseTime(Route, MeanLatencyMs);
  const milliseconds Objective =
      std::max(Route.LatencyObjective, Route.EventGapObjective);
  return std::max({MinimumIdleTimeout, Objective, Usual});
}

milliseconds timeLimitOf(const dispatch_request &Request, const route &Route) {
  milliseconds Limit =
      Route.Timeout.count() > 0 ? Route.Timeout : DefaultTimeLimit;
  if (Request.Deadline)
    Limit = std::min(Limit, *Request.Deadline - DeadlineMargin);
  return std::max(Limit, milliseconds(1));
}

const char *nameOf(attempt_failure Failure) {
  switch (Failure) {
  case attempt_failure::NotSent:
    return "not_sent";
  case attempt_failure::NotExecuted:
    return "not_executed";
  case attempt_failure::ErrorResponse:
    return "error_response";
  case attempt_failure::NoValidResponse:
    return "no_valid_response";
  case attempt_failure::Malformed:
    return "malformed";
  case attempt_failure::Silent:
    return "silent";
  case attempt_failure::Unresponsive:
    return "unresponsive";
  }
  return "unknown";
}

bool isRetryAllowed(const route &Route, attempt_failure Failure) {
  return !mayHaveRun(Failure) || Route.allowsReexecution();
}

error_response errorResponseFor(bool MayHaveRun, const char *Reason,
                                std::optional<milliseconds> UntilAdmission) {
  if (MayHaveRun)
    return {502, std::nullopt, Reason};
  return {503,
          std::max(UntilAdmission.value_or(RetryAfterDelay), RetryAfterDelay),
          Reason};
}

error_response
noEndpointErrorResponse(bool MayHaveRun,
                        std::optional<milliseconds> UntilAdmission) {
  return errorResponseFor(
      MayHaveRun, UntilAdmission ? "endpoints_shed_load" : "no_endpoint",
      UntilAdmission);
}

error_response deadlineErrorResponse(bool MayHaveRun) {
  if (MayHaveRun)
    return {504, std::nullopt, "deadline"};
  return {503, RetryAfterDelay, "deadline"};
}

} // namespace azurehaven
