#pragma once

#include "LibConnection/request_parser.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// What a connection waits for while no request is being served.
enum class receive_phase {
  /// The first byte of the next request.
  Rest,
  /// The end of a request head.
  Head,
  /// The next bytes of a request body.
  Body,
};

/// Decides whether a caller's connection has waited too long for bytes. The
/// limits that were in force when the rest or the request began apply, or those
/// in force now where they are longer.
class receive_timeout {
public:
  /// Waits for the phase from Now on. A head that is waited for already keeps
  /// its start; the pause within a body starts anew.
  void start(receive_phase NewPhase, const caller_limits &Limits,
             steady_time Now);
  /// Nothing is waited for, for example while a request is served.
  void stop() { Phase.reset(); }

  /// When the running phase ends by the limits in force; nullopt if nothing is
  /// waited for.
  std::optional<steady_time> dueAt(const caller_limits &Limits) const;
  /// The running phase if its time is over.
  std::optional<receive_phase> expiredPhase(const caller_limits &Limits,
                                            steady_time Now) const;
  /// Length of the running phase by the limits in force; 0 without one.
  milliseconds duration(const caller_limits &Limits) const;

private:
  std::optional<receive_phase> Phase;
  steady_time StartedAt;
  caller_limits LimitsAtStart;
};

} // namespace azurehaven
