#include "LibDispatch/configuration_confirmation.h"

namespace azurehaven {

namespace {

/// Part of the revocation bound after which keyed requests are refused. The
/// rest covers a second in which a watch of the store may be deaf to changes
/// without saying so, and the way of a request to this VM.
constexpr double UsableFraction = 0.76;
/// How much faster than ours the store's clock may run.
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
