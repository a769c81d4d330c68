#pragma once

#include "LibBench/policy.h"

namespace azurehaven::bench {

/// The request that breaks engines down.
constexpr std::uint64_t CrashCausingFingerprint = 666;

/// The course of one request through the bench.
struct request_state {
  bench_request Request;
  bool IsEasy = true;
  double UnusedDraw = 0;
  route_plan Plan;
  std::size_t Stage = 0;
  answer_role Role = answer_role::Direct;
  double EscalationThreshold = 0;
  std::optional<admission_ticket> Ticket;
  steady_time AdmittedAt;
  std::optional<attempt> Attempt;
  std::set<endpoint_id> Excluded;
  std::optional<placement> Placement;
  std::size_t EngineIndex = 0;
  steady_time SentAt;
  steady_time FirstTokenAt;
  std::uint64_t EngineIncarnation = 0;
  double Cost = 0;
  bool IsDone = false;
  bool IsAnswered = false;
  version_id AnsweredBy;
  bool IsGood = false;
  double TrueQuality = 0;
  unsigned FailedAttempts = 0;
};

} // namespace azurehaven::bench
