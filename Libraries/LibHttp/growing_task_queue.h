#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

#include <httplib.h>

namespace azurehaven {

/// A pool that starts threads as connections need them, up to a limit, and
/// keeps idle ones for reuse.
class growing_task_queue : public httplib::TaskQueue {
public:
  explicit growing_task_queue(std::size_t ThreadLimit)
      : ThreadLimit(ThreadLimit) {}
  ~growing_task_queue() override = default;

  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

private:
  void work();

  const std::size_t ThreadLimit;
  std::mutex Mutex;
  std::condition_variable HasWork;
  std::deque<std::function<void()>> Tasks;
  std::list<std::thread> Threads;
  std::size_t IdleThreads = 0;
  bool IsStopping = false;
};

} // namespace azurehaven
