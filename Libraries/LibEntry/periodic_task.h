#pragma once

#include "LibTypes/units.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace azurehaven {

/// A thread that runs a task periodically until it is destroyed.
class periodic_task {
public:
  periodic_task(milliseconds Interval, std::function<void()> Task);
  ~periodic_task();
  periodic_task(const periodic_task &) = delete;
  periodic_task &operator=(const periodic_task &) = delete;

  /// Starts the next run without waiting for the interval to pass.
  void wake();

private:
  void runWorker();

  const milliseconds Interval;
  const std::function<void()> Task;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsWoken = false;
  bool IsStopping = false;
  std::thread Worker;
};

} // namespace azurehaven
