#pragma once

#include "LibTypes/units.h"

#include <cstdint>

namespace azurehaven {

/// How much of a service's traffic an unproven release may get until the time
/// limit of its roll-out.
struct exposure_limits {
  /// Fraction of the service's requests.
  double Share = 0.1;
  /// Further requests, for all VMs together.
  double Slack = 0;
};

/// Attempts that all VMs have sent since this VM began to observe a roll-out.
struct exposure_counts {
  std::uint32_t Target = 0;
  /// To all releases of the service.
  std::uint32_t All = 0;
  /// Attempts to the service that run now.
  std::uint32_t InFlight = 0;
};

/// What is left of a roll-out's exposure, by the counts of all VMs as far as
/// this one knows them.
class exposure_budget {
public:
  exposure_budget(const exposure_limits &Limits, const exposure_counts &Counts,
                  milliseconds Observed, milliseconds UntilTimeLimit);

  /// Whether the rate of requests is known.
  bool hasRate() const;
  /// Whether the target may get all requests for this long, which is a part of
  /// the time until the limit, and those in flight that move to it when the old
  /// endpoints stop.
  bool allowsAll(milliseconds FullTime) const;
  /// The share of the requests that the target may get for TrialTime, if it
  /// gets all of them for FullTime after it; whatever it has got so far. Not
  /// limited to [0, 1].
  double plannedShare(milliseconds FullTime, milliseconds TrialTime) const;

  /// The same, less what the target has got so far.
  double remainingShare(milliseconds FullTime, milliseconds TrialTime) const;

private:
  /// Attempts that the target may get until the time limit, less those of the
  /// time in which it gets all of them and those in flight that move to it.
  double allowanceBefore(milliseconds FullTime) const;

  const exposure_limits Limits;
  const exposure_counts Counts;
  const milliseconds Observed;
  const milliseconds UntilTimeLimit;
  double RatePerMs = 0;
};

} // namespace azurehaven
