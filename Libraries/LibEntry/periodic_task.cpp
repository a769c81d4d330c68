#include "LibEntry/periodic_task.h"

namespace azurehaven {

periodic_task::periodic_task(milliseconds Interval, std::function<void()> Task)
    : Interval(Interval), Task(std::move(Task)),
      Worker([this] { runWorker(); }) {}

periodic_task::~periodic_task() {
  {
    std::lock_guard Lock(Mutex);
    IsStopping = true;
  }
  Changed.notify_all();
  Worker.join();
}

void periodic_task::wake() {
  {
    std::lock_guard Lock(Mutex);
    IsWoken = true;
  }
  Changed.notify_all();
}

void periodic_task::runWorker() {
  std::unique_lock Lock(Mutex);
  while (!IsStopping) {
    IsWoken = false;
    Lock.unlock();
    Task();
    Lock.lock();
    Changed.wait_for(Lock, Interval, [this] { return IsStopping || IsWoken; });
  }
}

} // namespace azurehaven
