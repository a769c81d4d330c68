#pragma once

#include "LibFleet/event_scheduler.h"
#include "LibTypes/clock_source.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace azurehaven {

/// Runs delayed work on an Asio event loop.
class asio_scheduler : public event_scheduler {
public:
  asio_scheduler(asio::any_io_executor Executor, const clock_source &Clock)
      : Executor(std::move(Executor)), Clock(Clock) {}

  steady_time now() const override { return Clock.now(); }
  void runAfter(milliseconds Delay, std::function<void()> Work) override {
    auto Timer = std::make_shared<asio::steady_timer>(Executor, Delay);
    Timer->async_wait(
        [Timer, Work = std::move(Work)](const asio::error_code &Code) {
          if (!Code)
            Work();
        });
  }

private:
  asio::any_io_executor Executor;
  const clock_source &Clock;
};

} // namespace azurehaven
