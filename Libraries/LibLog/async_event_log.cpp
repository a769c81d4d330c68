#include "LibLog/async_event_log.h"

#include "LibLog/log4cplus_support.h"
#include "LibLog/log_rate_limiter.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <poll.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <sstream>
#include <thread>

namespace azurehaven {

namespace {

/// How long the end of the process waits for a reader.
constexpr milliseconds FlushTime{100};
/// How often the counts of lines left out are written.
constexpr std::chrono::seconds LeftOutEvery{1};

/// Lines that wait for the writer. Thread-safe.
class line_queue {
public:
  explicit line_queue(int Descriptor) : Descriptor(Descriptor) {}

  void start() {
    Writer = std::thread([this] { run(); });
  }
  std::size_t waitingBytes() const {
    std::lock_guard Lock(Mutex);
    return Waiting.size() + Unwritten;
  }
  void push(const std::string &Line) {
    {
      std::lock_guard Lock(Mutex);
      Waiting += Line;
    }
    Changed.notify_one();
  }
  void flush() {
    std::unique_lock Lock(Mutex);
    Written.wait_for(Lock, FlushTime,
                     [&] { return Waiting.empty() && Unwritten == 0; });
  }
  void stop() {
    flush();
    {
      std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    Changed.notify_one();
    Writer.join();
  }

private:
  void run() {
    while (true) {
      std::string Text;
      {
        std::unique_lock Lock(Mutex);
        Changed.wait(Lock, [&] { return Stopping || !Waiting.empty(); });
        if (Stopping)
          return;
        Text.swap(Waiting);
        Unwritten = Text.size();
      }
      writeAll(Text);
      {
        std::lock_guard Lock(Mutex);
        Unwritten = 0;
      }
      Written.notify_all();
    }
  }

  /// Gives the text up when the reader is gone.
  void writeAll(std::string_view Text) {
    while (!Text.empty()) {
      pollfd Ready{Descriptor, POLLOUT, 0};
      // Wakes up now and then to see whether the log is being stopped.
      const int Count = ::poll(&Ready, 1, 100);
      {
        std::lock_guard Lock(Mutex);
        if (Stopping)
          return;
      }
      if (Count == 0)
        continue;
      // A pipe that is ready takes this much without blocking.
      const auto Size = ::write(Descriptor, Text.data(),
                                std::min<std::size_t>(Text.size(), 4096));
      if (Size < 0 && errno != EINTR && errno != EAGAIN)
        return;
      if (Size > 0)
        Text.remove_prefix(static_cast<std::size_t>(Size));
    }
  }

  const int Descriptor;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::condition_variable Written;
  std::string Waiting;
  std::size_t Unwritten = 0;
  bool Stopping = false;
  std::thread Writer;
};

/// Hands formatted lines of the library to the queue.
class queue_appender : public log4cplus::Appender {
public:
  explicit queue_appender(line_queue &Queue) : Queue(Queue) {}
  ~queue_appender() override { destructorImpl(); }
  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    Queue.push(Line.str());
  }

private:
  line_queue &Queue;
};

} // namespace

struct async_event_log::log4cplus_state {
  explicit log4cplus_state(int Descriptor)
      : Queue(Descriptor), Budget(log_rate_limiter::limits{}) {}

  log4cplus::Logger Logger;
  line_queue Queue;
  std::mutex Mutex;
  log_rate_limiter Budget;
  steady_time LeftOutAt;
};

async_event_log::async_event_log(std::string Vm, log_level Level,
                                 int Descriptor)
    : Vm(std::move(Vm)), State(std::make_unique<log4cplus_state>(Descriptor)) {
  initializeLog4cplus();
  State->Queue.start();
  State->Logger = log4cplus::Logger::getInstance("azurehaven.relay");
  State->Logger.setAdditivity(false);
  log4cplus::SharedAppenderPtr Appender(new queue_appender(State->Queue));
  Appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(JsonLineLayout));
  State->Logger.addAppender(Appender);
  State->Logger.setLogLevel(toLog4cplusLevel(Level));
}

async_event_log::~async_event_log() {
  State->Logger.removeAllAppenders();
  State->Queue.stop();
}

void async_event_log::flush() const { State->Queue.flush(); }

void async_event_log::write(log_level Level, std::string_view Event,
                            std::initializer_list<log_field> Fields) const {
  if (!State->Logger.isEnabledFor(toLog4cplusLevel(Level)))
    return;
  std::lock_guard Lock(State->Mutex);
  const steady_time Now = std::chrono::steady_clock::now();
  if (Now - State->LeftOutAt >= LeftOutEvery) {
    State->LeftOutAt = Now;
    for (const auto &[Name, Count] : State->Budget.takeDroppedCounts())
      State->Logger.log(
          log4cplus::WARN_LOG_LEVEL,
          formatFields(Vm, "lines_left_out",
                       {{"kind", Name}, {"count", std::to_string(Count)}}));
  }
  if (State->Budget.admit(Level, Event, State->Queue.waitingBytes(), Now))
    State->Logger.log(toLog4cplusLevel(Level), formatFields(Vm, Event, Fields));
}

} // namespace azurehaven
