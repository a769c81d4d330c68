#pragma once

#include "LibBench/policy.h"

namespace azurehaven::bench {

/// Fingerprint of the request that crashes every engine that runs it.
constexpr std::uint64_t CrashCausingFingerprint = 666;

/// Progress and outcome of one simulated request.
struct request_state {
  bench_request Request;
  bool IsEasy = true;
  /// Never read. Removing the draw would change the random sequence of every
  /// seed.
  double UnusedDraw = 0;
  route_plan Plan;
  std::size_t Stage = 0;
  answer_role Role = answer_role::Direct;
  /// Confidence that the response of the previous stage had to reach.
  double EscalationThreshold = 0;
  std::optional<admission_ticket> Ticket;
  steady_time AdmittedAt;
  std::optional<attempt> Attempt;
  /// Endpoints that failed an attempt of the current stage.
  std::set<endpoint_id> Excluded;
  /// Set by a baseline policy only.
  std::optional<placement> Placement;
  std::size_t EngineIndex = 0;
  steady_time SentAt;
  steady_time FirstTokenAt;
  /// Incarnation of the engine that the request was sent to.
  std::uint64_t EngineIncarnation = 0;
  /// In micro-euros, over all stages.
  double Cost = 0;
  bool IsDone = false;
  bool IsAnswered = false;
  version_id AnsweredBy;
  bool IsGood = false;
  double TrueQuality = 0;
  unsigned FailedAttempts = 0;
};

} // namespace azurehaven::bench
