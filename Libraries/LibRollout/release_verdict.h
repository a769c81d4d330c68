#pragma once

#include "LibRollout/release_statistics.h"

namespace azurehaven {

enum class release_verdict {
  /// The service has had enough requests, but too few successes of the release
  /// are known.
  Unproven,
  Sound,
  /// Fails or is slow more often than the service's other releases, though not
  /// beyond doubt.
  Suspect,
  /// Fails or is slow significantly more often than the other releases.
  Worse,
};

/// The verdict's name in logs.
const char *nameOf(release_verdict Verdict);

/// Compares a release with the service's other releases, route by route. Before
/// holds the totals at the start of its roll-out: the release is judged by what
/// has been counted since, the others mainly so.
release_verdict judgeRelease(const service_totals &Totals,
                             const service_totals &Before,
                             const std::string &Release);

/// Bad outcomes, and how many of them the baseline rate lets expect.
struct bad_outcomes {
  std::uint32_t Count = 0;
  double Expected = 0;
  double Variance = 0;

  bad_outcomes &operator+=(const bad_outcomes &Other) {
    Count += Other.Count;
    Expected += Other.Expected;
    Variance += Other.Variance;
    return *this;
  }
};

/// Whether there are more bad outcomes than expected by this number of standard
/// deviations. Source: one-sided test of binomial proportions, normal
/// approximation.
bool isAboveExpected(const bad_outcomes &Bad, double Deviations);

} // namespace azurehaven
