#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibTypes/clock_source.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace azurehaven {

/// Runs delayed tasks on an Asio event loop.
class asio_scheduler : public event_scheduler {
public:
  asio_scheduler(asio::any_io_executor Executor, const clock_source &Clock)
      : Executor(std::move(Executor)), Clock(Clock) {}

  steady_time now() const override { return Clock.now(); }
  void runAfter(milliseconds Delay, std::function<void()> Task) override {
    auto Timer = std::make_shared<asio::steady_timer>(Executor, Delay);
    Timer->async_wait(
        [Timer, Task = std::move(Task)](const asio::error_code &Code) {
          if (!Code)
            Task();
        });
  }

private:
  asio::any_io_executor Executor;
  const clock_source &Clock;
};

} // namespace azurehaven
