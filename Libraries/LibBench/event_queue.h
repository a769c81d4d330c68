#pragma once

#include "LibTypes/units.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace azurehaven::bench {

/// Event queue in virtual time. Actions scheduled for the same time run in the
/// order in which they were scheduled.
class event_queue {
public:
  void schedule(steady_time At, std::function<void()> Action) {
    Events.push({At, NextOrder++, std::move(Action)});
  }

  /// Runs all actions scheduled up to End. Sets Now to the time of each action
  /// before running it.
  void runUntil(steady_time End, steady_time &Now) {
    while (!Events.empty() && Events.top().At <= End) {
      Now = Events.top().At;
      auto Action = Events.top().Action;
      Events.pop();
      Action();
    }
  }

private:
  struct event {
    steady_time At;
    std::uint64_t Order;
    std::function<void()> Action;

    bool operator<(const event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  std::priority_queue<event> Events;
  std::uint64_t NextOrder = 0;
};

} // namespace azurehaven::bench
