#pragma once

#include "LibBench/workload.h"

#include <deque>

namespace azurehaven::bench {

/// One request's stay at an engine.
struct engine_job {
  std::size_t Request = 0;
  version_id Version;
  double Tokens = 0;
};

/// An engine in virtual time: a few slots that run side by side, a bounded
/// queue, and tokens that slow down as the batch fills.
class virtual_engine {
public:
  explicit virtual_engine(engine_parameters Truth) : Truth(std::move(Truth)) {}

  struct started_job {
    engine_job Job;
    double FirstTokenMs;
    double TotalMs;
  };

  const engine_parameters &parameters() const { return Truth; }
  bool hosts(const version_id &Version) const;
  bool isUp() const { return IsUp; }
  void setUp(bool Up) { IsUp = Up; }
  unsigned load() const {
    return Running + static_cast<unsigned>(Queue.size());
  }
  /// Milliseconds until a new job would start, to the best of knowledge.
  double expectedWaitMs() const;

  /// False when the queue is full.
  bool accept(const engine_job &Job);
  /// The next queued job, if a slot is free.
  std::optional<started_job> startNextJob();
  void releaseSlot() { --Running; }

private:
  engine_parameters Truth;
  bool IsUp = true;
  unsigned Running = 0;
  std::deque<engine_job> Queue;
};

} // namespace azurehaven::bench
