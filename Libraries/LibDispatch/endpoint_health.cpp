#include "LibDispatch/endpoint_health.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr milliseconds InitialEjection{250};
constexpr milliseconds MaximumEjection{4000};
constexpr double FailureRateSmoothing = 0.15;
/// Failures of one endpoint within this time count as the same crash.
constexpr milliseconds CrashWindow{1000};

} // namespace

void recordFailure(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.ConsecutiveFailures = std::min(Endpoint.ConsecutiveFailures + 1, 8u);
  const milliseconds Ejection =
      std::min(InitialEjection * (1 << (Endpoint.ConsecutiveFailures - 1)),
               MaximumEjection);
  Endpoint.EjectedUntil = std::max(Endpoint.EjectedUntil, Now + Ejection);
  Endpoint.FailureRate += FailureRateSmoothing * (1 - Endpoint.FailureRate);
}

void recordErrorResponse(endpoint_record &Endpoint, steady_time Now) {
  const steady_time Before = Endpoint.EjectedUntil;
  recordFailure(Endpoint, Now);
  if (Endpoint.ConsecutiveFailures < 2)
    Endpoint.EjectedUntil = Before;
}

void recordSuccess(endpoint_record &Endpoint) {
  Endpoint.ConsecutiveFailures = 0;
  Endpoint.FailureRate -= FailureRateSmoothing * Endpoint.FailureRate;
}

void recordIdentityMismatch(endpoint_record &Endpoint, steady_time Now) {
  Endpoint.EjectedUntil =
      std::max(Endpoint.EjectedUntil, Now + MaximumEjection);
}

bool recordCrash(endpoint_record &Endpoint, steady_time Now) {
  const bool IsNewCrash = Now - Endpoint.LastCrash > CrashWindow;
  Endpoint.LastCrash = Now;
  return IsNewCrash;
}

} // namespace azurehaven
