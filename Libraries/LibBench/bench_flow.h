#pragma once

#include "LibBench/policy.h"

namespace azurehaven::bench {

/// The request that breaks engines down.
constexpr std::uint64_t PoisonFingerprint = 666;

/// The course of one request through the bench.
struct flow {
  bench_request Request;
  bool IsEasy = true;
  double Luck = 0;
  route_plan Plan;
  std::size_t Stage = 0;
  answer_role Role = answer_role::Direct;
  double AskedConfidence = 0;
  std::optional<admission_ticket> Ticket;
  steady_time AdmittedAt;
  std::optional<attempt> Attempt;
  std::set<endpoint_id> Excluded;
  std::optional<placement> Placed;
  std::size_t Engine = 0;
  steady_time SentAt;
  steady_time FirstTokenAt;
  std::uint64_t EngineRun = 0;
  double Cost = 0;
  bool IsDone = false;
  bool IsAnswered = false;
  version_id AnsweredBy;
  bool IsGood = false;
  double Goodness = 0;
  unsigned Tries = 0;
};

} // namespace azurehaven::bench
