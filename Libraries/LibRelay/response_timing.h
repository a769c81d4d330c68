#pragma once

#include "LibDispatch/route_table.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// When the parts of one attempt's answer came, and at which pace.
class response_timing {
public:
  /// The request was sent; so many events of it are known already.
  void onSent(steady_time Now, std::uint64_t EventsBefore);
  void onEvents(steady_time Now);

  double msSinceSent(steady_time Now) const;
  /// Milliseconds for each event of a stream after its first, or those that a
  /// plain answer took; nullopt where too little came to tell.
  std::optional<double> paceMs(route_kind Kind, bool Failed,
                               std::uint64_t EventCount, steady_time Now) const;

private:
  steady_time SentAt;
  std::uint64_t EventsBefore = 0;
  std::optional<steady_time> FirstEventAt;
  steady_time LastEventAt;
};

} // namespace azurehaven
