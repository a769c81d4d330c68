#pragma once

#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// Tracks when the store last confirmed that this VM has the latest
/// configuration. Requires a clock that keeps counting while the VM is
/// suspended. Not thread-safe.
class configuration_confirmation {
public:
  /// RevokeBound: time within which every VM must refuse a revoked key. Nullopt
  /// where serving with an outdated configuration is allowed.
  explicit configuration_confirmation(std::optional<milliseconds> RevokeBound);

  void setRevokeBound(std::optional<milliseconds> RevokeBound);
  /// Records that the configuration was the latest one at this time. A time
  /// before the last recorded one has no effect.
  void confirm(steady_time At);
  /// When the configuration was last known to be the latest.
  std::optional<steady_time> confirmedAt() const { return ConfirmedAt; }
  std::optional<milliseconds> age(steady_time Now) const;
  /// Whether requests that require an API key may be served.
  bool isCurrent(steady_time Now) const;

private:
  std::optional<milliseconds> MaximumAge;
  std::optional<steady_time> ConfirmedAt;
};

/// Latest time at which the configuration is known to have been current, given
/// a watch that returned without changes. Time that the response spent in
/// transit or in the buffers of a suspended VM does not count, only the wait
/// that the store itself measured.
steady_time confirmationTimeOfIdleWatch(steady_time SentAt, milliseconds Wait,
                                        steady_time ReceivedAt);

} // namespace azurehaven
