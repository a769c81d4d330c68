#include "LibDispatch/configuration_confirmation.h"

namespace azurehaven {

namespace {

/// Part of the revocation bound after which keyed requests are refused. The
/// rest covers a second in which a watch of the store may be deaf to changes
/// without saying so, and the way of a request to this VM.
constexpr double UsablePart = 0.76;
/// How much faster than ours the store's clock may run.
constexpr double ClockTolerance = 0.02;

} // namespace

configuration_confirmation::configuration_confirmation(
    std::optional<milliseconds> RevokeBound) {
  setRevokeBound(RevokeBound);
}

void configuration_confirmation::setRevokeBound(
    std::optional<milliseconds> RevokeBound) {
  Limit.reset();
  if (RevokeBound)
    Limit = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(RevokeBound->count()) * UsablePart));
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
  if (!Limit)
    return true;
  return ConfirmedAt && Now - *ConfirmedAt <= *Limit;
}

steady_time confirmationTimeOfIdleWatch(steady_time SentAt, milliseconds Wait,
                                        steady_time ReceivedAt) {
  const auto Sure = std::chrono::duration_cast<steady_time::duration>(
      Wait * (1 - ClockTolerance));
  if (ReceivedAt - SentAt < Sure)
    return SentAt;
  return SentAt + Sure;
}

} // namespace azurehaven
