#include "LibEntry/engine_attempt.h"
#include "LibHttp/transport_mock.h"

#include <doctest/doctest.h>

using namespace azurehaven;
using nlohmann::json;

namespace {

/// Returns a body, then its end or a connection failure.
class scripted_stream : public http_stream {
public:
  scripted_stream(int Status, std::string Body, bool IsCut)
      : Status(Status), Body(std::move(Body)), IsCut(IsCut) {}

  int status() const override { return Status; }
  const http_headers &headers() const override { return Headers; }
  std::variant<std::optional<std::string>, http_failure> next() override {
    if (!HasReturnedBody) {
      HasReturnedBody = true;
      return std::optional<std::string>(Body);
    }
    if (IsCut)
      return http_failure{delivery::MayHaveRun, "cut"};
    return std::optional<std::string>();
  }

  http_headers Headers;

private:
  const int Status;
  const std::string Body;
  const bool IsCut;
  bool HasReturnedBody = false;
};

std::string chunk(const char *Id, const char *Model, const char *Text,
                  bool IsLast = false) {
  json Event = {{"id", Id},
                {"model", Model},
                {"choices",
                 {{{"delta", {{"content", Text}}},
                   {"finish_reason", IsLast ? json("stop") : json()}}}}};
  if (IsLast)
    Event["usage"] = {{"prompt_tokens", 3}, {"completion_tokens", 1}};
  return formatEvent(Event.dump());
}

/// Returns the last event of a response with this body, and the text before it.
std::pair<engine_event, std::string> runAttempt(const std::string &Body,
                                                bool IsCut = false) {
  transport_mock Transport;
  REQUIRE_CALL(Transport, open(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .LR_RETURN(
          open_result(std::make_unique<scripted_stream>(200, Body, IsCut)));
  const json Caller = {{"messages", json::array()}};
  auto Opened = engine_attempt::open(
      Transport, {}, {"id", version_id("m@1"), 5, &Caller, ""}, {});
  auto &Attempt = std::get<std::unique_ptr<engine_attempt>>(Opened);
  std::string Text;
  while (true) {
    engine_event Event = Attempt->next();
    auto *Chunk = std::get_if<engine_text>(&Event);
    if (!Chunk)
      return {std::move(Event), Text};
    Text += Chunk->Text;
  }
}

engine_fault faultOf(const engine_event &Event) {
  REQUIRE(std::holds_alternative<engine_failure>(Event));
  return std::get<engine_failure>(Event).Fault;
}

} // namespace

TEST_CASE("a complete response ends with its usage") {
  auto [Event, Text] =
      runAttempt(chunk("id", "m@1", "hello") + chunk("id", "m@1", "", true) +
                 formatEvent("[DONE]"));
  REQUIRE(std::holds_alternative<engine_finish>(Event));
  CHECK(Text == "hello");
  CHECK(std::get<engine_finish>(Event).PromptTokens == token_count(3));
}

TEST_CASE(
    "a response without its end marker or finish reason fails the attempt") {
  const std::string Start = chunk("id", "m@1", "hello");
  CHECK(faultOf(runAttempt(Start).first) == engine_fault::Broken);
  CHECK(faultOf(runAttempt(Start, true).first) == engine_fault::Broken);
  CHECK(faultOf(runAttempt(Start + chunk("id", "m@1", "", true)).first) ==
        engine_fault::Broken);
  CHECK(faultOf(runAttempt(Start + formatEvent("[DONE]")).first) ==
        engine_fault::Foreign);
}

TEST_CASE(
    "a response to another request or of another version is not forwarded") {
  auto [Misdelivered, Text] = runAttempt(chunk("other", "m@1", "secret"));
  CHECK(faultOf(Misdelivered) == engine_fault::Foreign);
  CHECK(Text.empty());
  CHECK(faultOf(runAttempt(chunk("id", "m@2", "text")).first) ==
        engine_fault::Foreign);
  CHECK(faultOf(runAttempt(formatEvent("nonsense")).first) ==
        engine_fault::Foreign);
  CHECK(
      faultOf(runAttempt(formatEvent(R"({"id":"id","model":"m@1"})")).first) ==
      engine_fault::Foreign);
}

TEST_CASE("a chunk after the finish reason fails the attempt") {
  const std::string Whole =
      chunk("id", "m@1", "hello") + chunk("id", "m@1", "", true);
  CHECK(faultOf(runAttempt(Whole + chunk("id", "m@1", "more")).first) ==
        engine_fault::Foreign);
}

TEST_CASE(
    "a request that was not sent is distinguished from one that may have run") {
  transport_mock Transport;
  const json Caller = {{"messages", json::array()}};
  const engine_attempt::parameters Parameters{"id", version_id("m@1"), 5,
                                              &Caller, ""};
  for (const delivery Delivery : {delivery::NotSent, delivery::MayHaveRun}) {
    REQUIRE_CALL(Transport,
                 open(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_RETURN(open_result(http_failure{Delivery, "x"}));
    auto Opened = engine_attempt::open(Transport, {}, Parameters, {});
    CHECK(std::get<engine_failure>(Opened).mayHaveRun() ==
          (Delivery == delivery::MayHaveRun));
  }
  REQUIRE_CALL(Transport, open(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .LR_RETURN(
          open_result(std::make_unique<scripted_stream>(429, "", false)));
  auto Opened = engine_attempt::open(Transport, {}, Parameters, {});
  CHECK(std::get<engine_failure>(Opened).Fault == engine_fault::Busy);
}
