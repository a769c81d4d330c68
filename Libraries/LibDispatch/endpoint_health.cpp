#include "LibDispatch/endpoint_health.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr milliseconds FirstAvoidance{250};
constexpr milliseconds LongestAvoidance{4000};
constexpr double FailureSmoothing = 0.15;
/// Failures of one endpoint within this time have one cause.
constexpr milliseconds BreakdownSpan{1000};

} // namespace

void noteFailure(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.FailuresInRow = std::min(Endpoint.FailuresInRow + 1, 8u);
  const milliseconds Pause = std::min(
      FirstAvoidance * (1 << (Endpoint.FailuresInRow - 1)), LongestAvoidance);
  Endpoint.AvoidUntil = std::max(Endpoint.AvoidUntil, Now + Pause);
  Endpoint.FailureShare += FailureSmoothing * (1 - Endpoint.FailureShare);
}

void noteAnsweredFailure(endpoint_record &Endpoint, steady_time Now) {
  const steady_time Before = Endpoint.AvoidUntil;
  noteFailure(Endpoint, Now);
  if (Endpoint.FailuresInRow < 2)
    Endpoint.AvoidUntil = Before;
}

void noteSuccess(endpoint_record &Endpoint) {
  Endpoint.FailuresInRow = 0;
  Endpoint.FailureShare -= FailureSmoothing * Endpoint.FailureShare;
}

void noteMisdirected(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.AvoidUntil = std::max(Endpoint.AvoidUntil, Now + LongestAvoidance);
}

bool isFirstBreakdown(endpoint_record &Endpoint, steady_time Now) {
  const bool IsFirst = Now - Endpoint.LastBreakdown > BreakdownSpan;
  Endpoint.LastBreakdown = Now;
  return IsFirst;
}

} // namespace azurehaven
