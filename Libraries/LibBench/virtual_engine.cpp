#include "LibBench/virtual_engine.h"

#include <algorithm>

namespace azurehaven::bench {

namespace {

/// How much a full batch slows each token.
constexpr double BatchSlowdown = 0.3;
constexpr std::size_t QueueFactor = 8;
constexpr double TypicalTokens = 120;

} // namespace

bool virtual_engine::hosts(const version_id &Version) const {
  return Truth.Version == Version ||
         std::find(Truth.RollOutVersions.begin(), Truth.RollOutVersions.end(),
                   Version) != Truth.RollOutVersions.end();
}

double virtual_engine::expectedWaitMs() const {
  if (Running < Truth.Slots)
    return 0;
  const double JobMs = Truth.FirstTokenMs + TypicalTokens * Truth.TokenMs;
  return static_cast<double>(Queue.size() + 1) * JobMs / Truth.Slots;
}

bool virtual_engine::accept(const engine_job &Job) {
  if (Queue.size() >= QueueFactor * Truth.Slots)
    return false;
  Queue.push_back(Job);
  return true;
}

std::optional<virtual_engine::started_job> virtual_engine::startNextJob() {
  if (Queue.empty() || Running >= Truth.Slots)
    return std::nullopt;
  engine_job Job = Queue.front();
  Queue.pop_front();
  ++Running;
  const double Fill = static_cast<double>(Running) / Truth.Slots;
  const double Slowdown = 1 + BatchSlowdown * Fill;
  const double First = Truth.FirstTokenMs * Slowdown;
  return started_job{Job, First, First + Job.Tokens * Truth.TokenMs * Slowdown};
}

} // namespace azurehaven::bench
