#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace azurehaven {

/// Starts threads as tasks need them, up to a limit, and keeps idle ones for
/// reuse. Thread-safe.
class worker_pool {
public:
  explicit worker_pool(std::size_t ThreadLimit) : ThreadLimit(ThreadLimit) {}
  /// Runs the queued tasks and joins the threads.
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  worker_pool &operator=(const worker_pool &) = delete;

  /// Queues the task and returns; one of the threads runs it.
  void run(std::function<void()> Task);

private:
  void runTasks();

  const std::size_t ThreadLimit;
  std::mutex Mutex;
  std::condition_variable HasWork;
  std::deque<std::function<void()>> Tasks;
  std::list<std::thread> Threads;
  std::size_t IdleThreads = 0;
  bool IsStopping = false;
};

} // namespace azurehaven
