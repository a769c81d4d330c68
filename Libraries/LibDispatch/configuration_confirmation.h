#pragma once

#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// How long ago the store confirmed that this VM's configuration is the newest
/// one. Times are of a clock that counts suspension. Not thread-safe.
class configuration_confirmation {
public:
  /// RevokeBound: within which a taken-away key must be refused everywhere.
  /// Nullopt where serving on an old configuration is allowed.
  explicit configuration_confirmation(std::optional<milliseconds> RevokeBound);

  void setRevokeBound(std::optional<milliseconds> RevokeBound);
  /// The configuration was the newest one at this time. Older news than the
  /// latest changes nothing.
  void confirm(steady_time At);
  std::optional<milliseconds> age(steady_time Now) const;
  /// Whether requests that need a key may be served.
  bool isCurrent(steady_time Now) const;

private:
  std::optional<milliseconds> MaximumAge;
  std::optional<steady_time> ConfirmedAt;
};

/// When the configuration was certainly the newest, for a watch that was
/// waiting for changes when it returned without any. A response that spent
/// time on the way, or in the buffers of a suspended VM, proves nothing of
/// that time: only the wait that the store itself has measured counts.
steady_time confirmationTimeOfIdleWatch(steady_time SentAt, milliseconds Wait,
                                        steady_time ReceivedAt);

} // namespace azurehaven
