#pragma once

#include "LibDispatch/route_table.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// Measures the latency of the response to one attempt.
class response_timing {
public:
  /// Starts the measurement of an attempt. EventsBefore: events that earlier
  /// attempts of the request have delivered.
  void onSent(steady_time Now, std::uint64_t EventsBefore);
  void onEvents(steady_time Now);

  double msSinceSent(steady_time Now) const;
  /// Mean milliseconds per stream event after the first, or the total time of a
  /// plain response; nullopt for a failed plain response or too few events.
  std::optional<double> latencyMs(route_kind Kind, bool Failed,
                                  std::uint64_t EventCount,
                                  steady_time Now) const;

private:
  steady_time SentAt;
  std::uint64_t EventsBefore = 0;
  std::optional<steady_time> FirstEventAt;
  steady_time LastEventAt;
};

} // namespace azurehaven
