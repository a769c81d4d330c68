#pragma once

#include "LibDispatch/fleet_rate_limit.h"
#include "LibTypes/ids.h"

#include <map>

namespace azurehaven {

/// Services whose endpoints say that they fall over when they have to reject
/// too many requests. What one endpoint says counts for all of its service, as
/// one that has just started has not said anything yet. Not thread-safe.
class brittle_services {
public:
  /// Takes what a response of an endpoint says: the rejections per second that
  /// it bears, or nothing if it is not brittle. Returns whether that is news.
  bool observe(const service_id &Service, std::optional<double> PerSecond,
               steady_time RequestSentAt, steady_time Now);
  /// Takes what another VM has observed, unless this VM knows something newer.
  void merge(const service_id &Service, const rate_statement &Statement);

  /// Rejections per second that each endpoint of the service bears; nullopt if
  /// they are not brittle.
  std::optional<double> toleranceOf(const service_id &Service) const;
  const std::map<service_id, rate_statement> &statements() const {
    return Statements;
  }

private:
  std::map<service_id, rate_statement> Statements;
};

} // namespace azurehaven
