#include "chat_run_fixture.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr int EngineCount = 8;
/// Chunks after which a response makes progress.
constexpr int SoundChunks = 3;
constexpr std::size_t AllowedCrashes = 5;
constexpr std::size_t AllowedSendsAfter = 3;

/// Serves one request to its end. Returns the refusal, if it got one.
std::optional<refusal> serve(chat_run_fixture &Fixture,
                             const std::vector<std::string> &SharedMessages) {
  Fixture.Clock.Now += std::chrono::seconds(5);
  Fixture.reportEngines();
  chat_run Run(Fixture.Services, Fixture.makeRequest(SharedMessages));
  if (auto Refusal = Run.start())
    return Refusal;
  while (true) {
    chat_event Event = Run.next();
    if (auto *Refusal = std::get_if<refusal>(&Event))
      return *Refusal;
    if (std::holds_alternative<chat_end>(Event))
      return std::nullopt;
  }
}

/// Engines that crash as soon as they begin to respond to a prompt with the
/// message "bad".
engine_script crashOnBad(const std::string &Body) {
  if (Body.find("bad") != std::string::npos)
    return {0, response_end::Crash};
  return {SoundChunks};
}

} // namespace

TEST_CASE("Requests that share a message under which engines crash do not "
          "crash all engines") {
  chat_run_fixture Fixture(EngineCount);
  Fixture.Engines.Script = crashOnBad;
  for (int Subject = 0; Subject < 10; ++Subject) {
    const std::string Name = "subject-" + std::to_string(Subject);
    CHECK_FALSE(serve(Fixture, {"system", Name}));
    CHECK(serve(Fixture, {"system", Name, "bad"}));
  }
  CHECK(Fixture.Engines.CrashCount <= AllowedCrashes + AllowedSendsAfter);
}

TEST_CASE("A request with a crashing message is refused unsent, others with "
          "its other messages are served") {
  chat_run_fixture Fixture(EngineCount);
  Fixture.Engines.Script = crashOnBad;
  CHECK_FALSE(serve(Fixture, {"system", "subject"}));
  for (int Round = 0; Round < 5; ++Round)
    CHECK(serve(Fixture, {"system", "subject", "bad"}));
  const std::size_t Sent = Fixture.Engines.OpenedCount;
  const auto Refusal = serve(Fixture, {"system", "other", "bad"});
  REQUIRE(Refusal);
  CHECK(Refusal->Code == "prompt_crash_causing");
  CHECK(Refusal->Run == run_state::NotRun);
  CHECK(Fixture.Engines.OpenedCount == Sent);
  CHECK_FALSE(serve(Fixture, {"system", "subject"}));
}

TEST_CASE("A complete response clears its messages, however short it is") {
  chat_run_fixture Fixture(EngineCount);
  const auto ServeWith = [&](const engine_script &Script) {
    Fixture.Engines.Script = [Script](const std::string &) { return Script; };
    return serve(Fixture, {"system"});
  };
  const engine_script Crash{0, response_end::Crash};
  const engine_script Short{1};
  // Two engines crash under each request.
  CHECK(ServeWith(Crash));
  CHECK_FALSE(ServeWith(Short));
  CHECK(ServeWith(Crash));
  CHECK_FALSE(ServeWith(Short));
}

TEST_CASE("A message whose responses make progress is not blamed for crashes "
          "at the same time") {
  chat_run_fixture Fixture(EngineCount);
  Fixture.Engines.Script = [](const std::string &) {
    return engine_script{SoundChunks, response_end::Crash};
  };
  std::vector<std::unique_ptr<chat_run>> Runs;
  for (int Index = 0; Index < 6; ++Index) {
    Runs.push_back(std::make_unique<chat_run>(Fixture.Services,
                                              Fixture.makeRequest({"system"})));
    CHECK_FALSE(Runs.back()->start());
    for (int Chunk = 0; Chunk < SoundChunks; ++Chunk)
      CHECK(std::holds_alternative<chat_text>(Runs.back()->next()));
  }
  for (const auto &Run : Runs) {
    ++Fixture.Engines.CrashCount;
    (void)Run->next();
    Fixture.reportEngines();
  }
  Fixture.Engines.Script = crashOnBad;
  CHECK_FALSE(serve(Fixture, {"system"}));
}

TEST_CASE("A request is not blamed for engines that run on, whatever their "
          "status probe gives") {
  const send_result Probes[] = {
      http_failure{delivery::MayHaveRun, "timeout"},
      http_response{503, {}, "{}"},
      http_response{200, {}, "not json"},
      http_response{200, {}, "[]"},
  };
  for (const send_result &Probe : Probes) {
    chat_run_fixture Fixture(EngineCount);
    Fixture.Engines.StatusScript = [&](std::size_t) { return Probe; };
    Fixture.Engines.Script = [](const std::string &) {
      return engine_script{0, response_end::Cut};
    };
    CHECK(serve(Fixture, {"system"})->Code == "endpoint_failed");
    Fixture.Engines.Script = crashOnBad;
    CHECK_FALSE(serve(Fixture, {"system"}));
  }
}

TEST_CASE("An engine that still accepts a connection while it ends has crashed "
          "if it listens no more then") {
  chat_run_fixture Fixture(EngineCount);
  Fixture.Engines.StatusScript = [](std::size_t Earlier) {
    return http_failure{
        Earlier % 2 == 0 ? delivery::MayHaveRun : delivery::NotSent, "closed"};
  };
  Fixture.Engines.Script = [](const std::string &) {
    return engine_script{0, response_end::Cut};
  };
  CHECK(serve(Fixture, {"system"})->Code == "crash_causing");
}

TEST_CASE("An engine that no longer listens has crashed") {
  chat_run_fixture Fixture(EngineCount);
  Fixture.Engines.StatusScript = [](std::size_t) {
    return http_failure{delivery::NotSent, "refused"};
  };
  Fixture.Engines.Script = [](const std::string &) {
    return engine_script{0, response_end::Cut};
  };
  CHECK(serve(Fixture, {"system"})->Code == "crash_causing");
}

TEST_CASE(
    "A deadline that passes in the middle of a response is not refused as "
    "not run") {
  chat_run_fixture Fixture;
  Fixture.Engines.Script = [](const std::string &) {
    return engine_script{SoundChunks};
  };
  chat_run Run(Fixture.Services, Fixture.makeRequest({}));
  REQUIRE_FALSE(Run.start());
  Fixture.Clock.Now += std::chrono::seconds(2);
  const chat_event Event = Run.next();
  REQUIRE(std::holds_alternative<refusal>(Event));
  CHECK(std::get<refusal>(Event).Code == "deadline_exceeded");
  CHECK(std::get<refusal>(Event).Run == run_state::MayHaveRun);
}

TEST_CASE("A request whose cheaper answer was dropped is not refused as not "
          "run") {
  chat_run_fixture Fixture;
  Fixture.addLargerVersion();
  // The larger version is lost while the cheaper one responds.
  Fixture.Engines.Script = [&](const std::string &) {
    Fixture.loseLargerVersion();
    return engine_script{SoundChunks, response_end::Complete, 0.1};
  };
  chat_run Run(Fixture.Services, Fixture.makeRequest({}));
  const auto Refusal = Run.start();
  REQUIRE(Refusal);
  CHECK(Fixture.Engines.OpenedCount == 1);
  CHECK(Refusal->Code == "no_endpoint");
  CHECK(Refusal->Run == run_state::MayHaveRun);
}
