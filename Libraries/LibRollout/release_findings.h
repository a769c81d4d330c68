#pragma once

#include "LibRollout/release_evidence.h"
#include "LibRollout/release_verdict.h"

#include <vector>

namespace azurehaven {

/// What the outcomes of a release tell against it. The ratios are natural
/// logarithms of a likelihood under faults of several kinds and sizes to that
/// of a sound release.
struct release_findings {
  std::uint32_t Requests = 0;
  std::uint32_t Failures = 0;
  /// Endpoints of the release that have served requests.
  std::uint32_t Endpoints = 0;
  /// Requests of the other releases, which tell what is usual.
  std::uint32_t UsualRequests = 0;
  /// If all outcomes tell of the release.
  double OutcomeRatio = 0;
  /// If single endpoints may be faulty by themselves.
  double ReleaseRatio = 0;
};

/// Limits of the ratios, see verdictOf().
constexpr double SoundReleaseRatio = -0.5;
constexpr double SuspectReleaseRatio = 1.5;
constexpr double WorseReleaseRatio = 3;
constexpr double WorseOutcomeRatio = 6.9;

/// Compares a release with the service's other releases, route by route, over
/// the same time: from each of these earlier totals on, the first of them the
/// earliest, as a release may turn bad at any time.
/// Source: likelihood ratio averaged over the alternatives, whose chance of
/// ever exceeding 1/a on a sound release is at most a (Ville 1939; Robbins
/// 1970).
release_findings weighEvidence(const evidence_totals &Totals,
                               const std::vector<evidence_totals> &Starts,
                               const std::string &Release);

/// The verdict from the outcomes. Unproven: they tell neither way.
release_verdict verdictOf(const release_findings &Findings);

} // namespace azurehaven
