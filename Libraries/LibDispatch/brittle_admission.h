#pragma once

#include "LibTypes/units.h"

#include <cstddef>
#include <optional>

namespace azurehaven {

/// Requests that VMs may have at a brittle endpoint before it has responded to
/// them: those that it may still reject.
struct brittle_quota {
  /// Number of VMs that use the endpoint at all.
  std::size_t Holders = 1;
  /// Unanswered requests that each of them may have.
  std::size_t RequestsEach = 1;
};

/// Shares out the rejections per second that each endpoint of a brittle service
/// bears. There are enough holders for each VM to have an endpoint.
brittle_quota shareRejections(double PerSecond, std::size_t VmCount,
                              std::size_t EndpointCount);

/// One of several VMs or endpoints, in an order that all VMs agree on.
struct position {
  std::size_t Index = 0;
  std::size_t Count = 1;
};

/// Whether the VM is one of the holders of the endpoint. Each endpoint has the
/// same number of them, and each VM about the same number of endpoints.
bool isHolder(const brittle_quota &Quota, position Vm, position Endpoint);

/// Admission to an endpoint that falls over when it has to reject too many
/// requests in a second. A VM that has been rejected sends nothing for longer
/// than that, so that no window has more rejections than unanswered requests
/// were allowed. Not thread-safe.
class brittle_admission {
public:
  /// RequestsEach: unanswered requests that this VM may have; nullopt if the
  /// endpoint is not brittle.
  void setQuota(std::optional<std::size_t> RequestsEach) {
    Quota = RequestsEach;
  }
  bool isBrittle() const { return Quota.has_value(); }
  void onSent() { ++Unanswered; }
  /// The endpoint has responded, or the request has ended without a response.
  void onAnswered() { --Unanswered; }
  /// SpreadFraction, in [0, 1), differs between VMs: each asks again at another
  /// moment.
  void onRejected(double SpreadFraction, steady_time Now);

  bool admits(steady_time Now) const {
    return !isBrittle() || (Now >= PausedUntil && Unanswered < *Quota);
  }
  /// Whether it is only for this VM's own unanswered requests that the endpoint
  /// takes no more, so that there will soon be room.
  bool isFull(steady_time Now) const {
    return isBrittle() && *Quota > 0 && Now >= PausedUntil &&
           Unanswered >= *Quota;
  }

private:
  std::optional<std::size_t> Quota;
  std::size_t Unanswered = 0;
  steady_time PausedUntil;
};

} // namespace azurehaven
