#pragma once

#include "LibTypes/units.h"

#include <cstddef>

namespace azurehaven {

/// All endpoints of a service fail from some time on, so that retries are
/// limited by the fleet's budget alone; what goes wrong with the VMs meanwhile.
struct retry_day {
  std::size_t VmCount = 4;
  /// Of the budget, for all VMs together.
  double Slack = 58;
  /// Requests of callers per second, at all VMs together.
  double RequestsPerSecond = 12;
  milliseconds Length{60000};
  /// Time at which the endpoints begin to fail.
  milliseconds FailsFrom{20000};
  /// The longest time until an endpoint fails a request.
  milliseconds LongestAttempt{400};
  int MaxAttempts = 3;
  /// One VM after the other is killed and started again, one every so often;
  /// never if zero.
  milliseconds KillInterval{0};
  /// One VM after the other is stopped, one every so often: it leaves the list
  /// of members at once and goes on with its requests for the grace time.
  milliseconds StopInterval{0};
  milliseconds StopGrace{8000};
  /// One VM after the other stands still for this long.
  milliseconds FreezeTime{0};
  /// Every second VM can't reach the store for this long: the other VMs drop
  /// it from the list of members, and it keeps the list that it has.
  milliseconds StoreCutTime{0};
  /// For this long after it has started, a VM sees no member but itself.
  milliseconds UnlistedTime{0};
};

struct retry_result {
  int Requests = 0;
  int Retries = 0;
  /// Retries and limit of the window that comes closest to its limit, or lies
  /// farthest beyond it.
  int WorstRetries = 0;
  double WorstLimit = 0;
  int BrokenWindows = 0;
};

/// Plays the day in virtual time.
retry_result simulateRetries(const retry_day &Day, unsigned Seed);

} // namespace azurehaven
