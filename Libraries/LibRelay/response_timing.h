#pragma once

#include "LibDispatch/route_table.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// How long a response took, in milliseconds; absent where that is not known.
struct response_latency {
  /// From the sent request to the head of a stream.
  std::optional<double> HeadMs;
  /// Mean time per stream event after the first, or the total time of a plain
  /// response.
  std::optional<double> BodyMs;
};

/// Measures the latency of the response to one attempt.
class response_timing {
public:
  /// Starts the measurement of an attempt. EventsBefore: events that earlier
  /// attempts of the request have delivered.
  void onSent(steady_time Now, std::uint64_t EventsBefore);
  void onHead(steady_time Now);
  void onEvents(steady_time Now);

  double msSinceSent(steady_time Now) const;
  /// The latency of a response that has ended at Now. A failed plain response
  /// and a stream with few events have no body latency.
  response_latency latency(route_kind Kind, bool Failed,
                           std::uint64_t EventCount, steady_time Now) const;
  /// What the latency of a running response is at least.
  response_latency latencySoFar(route_kind Kind, std::uint64_t EventCount,
                                steady_time Now) const;

private:
  steady_time SentAt;
  std::uint64_t EventsBefore = 0;
  std::optional<steady_time> HeadAt;
  std::optional<steady_time> FirstEventAt;
  steady_time LastEventAt;
};

} // namespace azurehaven
