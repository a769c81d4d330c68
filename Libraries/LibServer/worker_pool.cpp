#include "LibServer/worker_pool.h"

namespace azurehaven {

worker_pool::~worker_pool() {
  {
    std::lock_guard Lock(Mutex);
    IsStopping = true;
    HasWork.notify_all();
  }
  for (auto &Thread : Threads)
    Thread.join();
}

void worker_pool::run(std::function<void()> Task) {
  std::lock_guard Lock(Mutex);
  Tasks.push_back(std::move(Task));
  if (IdleThreads < Tasks.size() && Threads.size() < ThreadLimit)
    Threads.emplace_back([this] { runTasks(); });
  HasWork.notify_one();
}

void worker_pool::runTasks() {
  std::unique_lock Lock(Mutex);
  while (true) {
    ++IdleThreads;
    HasWork.wait(Lock, [this] { return IsStopping || !Tasks.empty(); });
    --IdleThreads;
    if (Tasks.empty())
      return;
    auto Task = std::move(Tasks.front());
    Tasks.pop_front();
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

} // namespace azurehaven
