#pragma once

#include "LibBench/workload.h"

#include <deque>

namespace azurehaven::bench {

/// A request queued or running on an engine.
struct engine_job {
  std::size_t Request = 0;
  version_id Version;
  double Tokens = 0;
};

/// Model of an engine in virtual time: concurrent slots, a bounded queue, and
/// jobs that run the slower the fuller the batch is when they start.
class virtual_engine {
public:
  explicit virtual_engine(engine_parameters Parameters)
      : Parameters(std::move(Parameters)) {}

  struct started_job {
    engine_job Job;
    double FirstTokenMs;
    double TotalMs;
  };

  const engine_parameters &parameters() const { return Parameters; }
  bool hosts(const version_id &Version) const;
  bool isUp() const { return IsUp; }
  void setUp(bool Up) { IsUp = Up; }
  unsigned load() const {
    return Running + static_cast<unsigned>(Queue.size());
  }
  /// Estimated milliseconds until a new job would start.
  double expectedWaitMs() const;

  /// Returns false if the queue is full.
  bool accept(const engine_job &Job);
  /// Starts the next queued job if a slot is free.
  std::optional<started_job> startNextJob();
  void releaseSlot() { --Running; }

private:
  engine_parameters Parameters;
  bool IsUp = true;
  unsigned Running = 0;
  std::deque<engine_job> Queue;
};

} // namespace azurehaven::bench
