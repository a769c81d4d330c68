#include "LibBench/virtual_engine.h"

#include <algorithm>

namespace azurehaven::bench {

namespace {

/// Relative increase of the time to first token and of the time per token when
/// the batch is full.
constexpr double BatchSlowdown = 0.3;
constexpr std::size_t QueuedJobsPerSlot = 8;
constexpr double TypicalCompletionTokens = 120;

} // namespace

bool virtual_engine::hosts(const version_id &Version) const {
  return Parameters.Version == Version ||
         std::find(Parameters.RollOutVersions.begin(),
                   Parameters.RollOutVersions.end(),
                   Version) != Parameters.RollOutVersions.end();
}

double virtual_engine::expectedWaitMs() const {
  if (Running < Parameters.Slots)
    return 0;
  const double JobMs =
      Parameters.FirstTokenMs + TypicalCompletionTokens * Parameters.TokenMs;
  return static_cast<double>(Queue.size() + 1) * JobMs / Parameters.Slots;
}

bool virtual_engine::accept(const engine_job &Job) {
  if (Queue.size() >= QueuedJobsPerSlot * Parameters.Slots)
    return false;
  Queue.push_back(Job);
  return true;
}

std::optional<virtual_engine::started_job> virtual_engine::startNextJob() {
  if (Queue.empty() || Running >= Parameters.Slots)
    return std::nullopt;
  engine_job Job = Queue.front();
  Queue.pop_front();
  ++Running;
  const double Fill = static_cast<double>(Running) / Parameters.Slots;
  const double Slowdown = 1 + BatchSlowdown * Fill;
  const double First = Parameters.FirstTokenMs * Slowdown;
  return started_job{Job, First,
                     First + Job.Tokens * Parameters.TokenMs * Slowdown};
}

} // namespace azurehaven::bench
