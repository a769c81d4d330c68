#pragma once

#include "LibFleet/event_scheduler.h"

#include <map>

namespace azurehaven {

/// An event loop in virtual time.
class virtual_scheduler : public event_scheduler {
public:
  steady_time now() const override { return Now; }
  void runAfter(milliseconds Delay, std::function<void()> Task) override {
    Queue.emplace(Now + Delay, std::move(Task));
  }
  void advance(milliseconds Time) {
    const steady_time End = Now + Time;
    while (!Queue.empty() && Queue.begin()->first <= End) {
      auto Task = std::move(Queue.begin()->second);
      Now = Queue.begin()->first;
      Queue.erase(Queue.begin());
      Task();
    }
    Now = End;
  }

private:
  steady_time Now{std::chrono::hours(1)};
  std::multimap<steady_time, std::function<void()>> Queue;
};

} // namespace azurehaven
