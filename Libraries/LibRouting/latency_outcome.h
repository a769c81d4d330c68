#pragma once

#include "LibConfig/configuration.h"
#include "LibRouting/attempt_report.h"

namespace azurehaven {

/// Whether an attempt met the latency targets of its class.
enum class latency_outcome {
  /// It ended too early to tell, or for a reason that tells nothing of the
  /// version.
  Unknown,
  InTime,
  Late,
};

/// Judges an attempt, also one that never got an answer: of a slow version, the
/// answers that arrive are its fast ones.
latency_outcome latencyOutcomeOf(const work_class &Class,
                                 const attempt_report &Report);

} // namespace azurehaven
