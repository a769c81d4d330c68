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

/// Maximum time that a flush, also at the end of the process, waits for the
/// reader.
constexpr milliseconds FlushTimeout{100};
/// Minimum time between two reports of dropped lines.
constexpr std::chrono::seconds DroppedReportInterval{1};

/// Queue of lines and the thread that writes them. Thread-safe.
class line_queue {
public:
  explicit line_queue(int Descriptor) : Descriptor(Descriptor) {}

  void start() {
    WriterThread = std::thread([this] { run(); });
  }
  std::size_t queuedBytes() const {
    std::lock_guard Lock(Mutex);
    return QueuedText.size() + BytesInWrite;
  }
  void push(const std::string &Line) {
    {
      std::lock_guard Lock(Mutex);
      QueuedText += Line;
    }
    HasWork.notify_one();
  }
  void flush() {
    std::unique_lock Lock(Mutex);
    WriteFinished.wait_for(Lock, FlushTimeout, [&] {
      return QueuedText.empty() && BytesInWrite == 0;
    });
  }
  void stop() {
    flush();
    {
      std::lock_guard Lock(Mutex);
      IsStopping = true;
    }
    HasWork.notify_one();
    WriterThread.join();
  }

private:
  void run() {
    while (true) {
      std::string Text;
      {
        std::unique_lock Lock(Mutex);
        HasWork.wait(Lock, [&] { return IsStopping || !QueuedText.empty(); });
        if (IsStopping)
          return;
        Text.swap(QueuedText);
        BytesInWrite = Text.size();
      }
      writeAll(Text);
      {
        std::lock_guard Lock(Mutex);
        BytesInWrite = 0;
      }
      WriteFinished.notify_all();
    }
  }

  /// Discards the text if the descriptor fails, for example because the reader
  /// closed it.
  void writeAll(std::string_view Text) {
    while (!Text.empty()) {
      pollfd PollEntry{Descriptor, POLLOUT, 0};
      // The timeout lets the loop check whether the log is stopping.
      const int Count = ::poll(&PollEntry, 1, 100);
      {
        std::lock_guard Lock(Mutex);
        if (IsStopping)
          return;
      }
      if (Count == 0)
        continue;
      // A pipe that is ready accepts 4096 bytes without blocking.
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
  std::condition_variable HasWork;
  std::condition_variable WriteFinished;
  std::string QueuedText;
  std::size_t BytesInWrite = 0;
  bool IsStopping = false;
  std::thread WriterThread;
};

/// Formats log4cplus events and pushes the lines to the queue.
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
      : Queue(Descriptor), RateLimiter(log_rate_limiter::limits{}) {}

  log4cplus::Logger Logger;
  line_queue Queue;
  std::mutex Mutex;
  log_rate_limiter RateLimiter;
  steady_time LastDroppedReportAt;
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
  if (Now - State->LastDroppedReportAt >= DroppedReportInterval) {
    State->LastDroppedReportAt = Now;
    for (const auto &[Name, Count] : State->RateLimiter.takeDroppedCounts())
      State->Logger.log(
          log4cplus::WARN_LOG_LEVEL,
          formatFields(Vm, "lines_left_out",
                       {{"kind", Name}, {"count", std::to_string(Count)}}));
  }
  if (State->RateLimiter.admit(Level, Event, State->Queue.queuedBytes(), Now))
    State->Logger.log(toLog4cplusLevel(Level), formatFields(Vm, Event, Fields));
}

} // namespace azurehaven
