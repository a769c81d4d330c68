#include "LibDispatch/configuration_confirmation.h"

namespace azurehaven {

namespace {

/// Fraction of the revocation bound after which requests with an API key are
/// refused. The rest covers one second in which a store watch may miss changes
/// without an error, and the transit time of a request to this VM.
constexpr double UsableFraction = 0.76;
/// Largest assumed relative rate by which the store's clock runs faster than
/// the local one.
constexpr double ClockRateTolerance = 0.02;

} // namespace

configuration_confirmation::configuration_confirmation(
    std::optional<milliseconds> RevokeBound) {
  setRevokeBound(RevokeBound);
}

void configuration_confirmation::setRevokeBound(
    std::optional<milliseconds> RevokeBound) {
  MaximumAge.reset();
  if (RevokeBound)
    MaximumAge = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(RevokeBound->count()) * UsableFraction));
}

void configuration_confirmation::confirm(steady_time At) {
  if (!ConfirmedAt || *ConfirmedAt < At)
    ConfirmedAt = At;
}

std::optional<milliseconds>
configuration_confirmation::age(steady_time Now) const {
  if (!ConfirmedAt)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(Now - *ConfirmedAt);
}

bool configuration_confirmation::isCurrent(steady_time Now) const {
  if (!MaximumAge)
    return true;
  return ConfirmedAt && Now - *ConfirmedAt <= *MaximumAge;
}

steady_time confirmationTimeOfIdleWatch(steady_time SentAt, milliseconds Wait,
                                        steady_time ReceivedAt) {
  const auto CertainWait = std::chrono::duration_cast<steady_time::duration>(
      Wait * (1 - ClockRateTolerance));
  if (ReceivedAt - SentAt < CertainWait)
    return SentAt;
  return SentAt + CertainWait;
}

} // namespace azurehaven
