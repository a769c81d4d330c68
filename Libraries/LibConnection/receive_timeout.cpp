#include "LibConnection/receive_timeout.h"

namespace azurehaven {

void receive_timeout::start(receive_phase NewPhase, const caller_limits &Limits,
                            steady_time Now) {
  // A caller that sends a head byte by byte gets no more time for it.
  if (Phase == NewPhase && NewPhase != receive_phase::Body)
    return;
  const bool IsSameRequest =
      Phase && *Phase != receive_phase::Rest && NewPhase == receive_phase::Body;
  LimitsAtStart = IsSameRequest ? largerOf(LimitsAtStart, Limits) : Limits;
  Phase = NewPhase;
  StartedAt = Now;
}

milliseconds receive_timeout::duration(const caller_limits &Limits) const {
  if (!Phase)
    return milliseconds(0);
  const caller_limits InForce = largerOf(LimitsAtStart, Limits);
  return *Phase == receive_phase::Head ? InForce.HeaderTimeout
                                       : InForce.IdleTimeout;
}

std::optional<steady_time>
receive_timeout::dueAt(const caller_limits &Limits) const {
  if (!Phase)
    return std::nullopt;
  return StartedAt + duration(Limits);
}

std::optional<receive_phase>
receive_timeout::expiredPhase(const caller_limits &Limits,
                              steady_time Now) const {
  const auto DueAt = dueAt(Limits);
  return DueAt && Now >= *DueAt ? Phase : std::nullopt;
}

} // namespace azurehaven
