#include "LibLog/async_event_log.h"

#include <doctest/doctest.h>

#include <csignal>
#include <unistd.h>

using namespace azurehaven;

TEST_CASE("A reader that doesn't read doesn't block writers") {
  int PipeEnds[2];
  REQUIRE(::pipe(PipeEnds) == 0);
  {
    const async_event_log Log("vm-1", log_level::Info, PipeEnds[1]);
    // Far more than the pipe and the queue can hold.
    for (int Index = 0; Index < 20000; ++Index)
      Log.write(log_level::Warning, "event",
                {{"text", std::string(1000, 'x')}});
  }
  ::close(PipeEnds[0]);
  ::close(PipeEnds[1]);
}

TEST_CASE("A closed reader only causes dropped lines") {
  std::signal(SIGPIPE, SIG_IGN);
  int PipeEnds[2];
  REQUIRE(::pipe(PipeEnds) == 0);
  ::close(PipeEnds[0]);
  const async_event_log Log("vm-1", log_level::Info, PipeEnds[1]);
  Log.write(log_level::Info, "event", {});
  Log.flush();
  Log.write(log_level::Info, "event", {});
  ::close(PipeEnds[1]);
}

TEST_CASE("Lines are JSON objects with level, VM and event") {
  int PipeEnds[2];
  REQUIRE(::pipe(PipeEnds) == 0);
  {
    const async_event_log Log("vm-1", log_level::Info, PipeEnds[1]);
    Log.write(log_level::Debug, "left_out", {});
    Log.write(log_level::Info, "event", {{"field", "a \"b\"\n"}});
    Log.flush();
  }
  std::string Text(10000, '\0');
  Text.resize(static_cast<std::size_t>(
      std::max<ssize_t>(::read(PipeEnds[0], Text.data(), Text.size()), 0)));
  CHECK(Text.find(R"("level":"INFO","vm":"vm-1","event":"event",)"
                  R"("field":"a \"b\"\n"})") != std::string::npos);
  CHECK(Text.find("left_out") == std::string::npos);
  ::close(PipeEnds[0]);
  ::close(PipeEnds[1]);
}
