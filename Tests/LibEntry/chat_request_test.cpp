#include "LibEntry/chat_request.h"

#include <doctest/doctest.h>

#include <random>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

std::shared_ptr<const configuration> makeConfiguration() {
  auto Configuration = std::make_shared<configuration>();
  work_class Class;
  Class.Id = class_id("survey");
  Class.Deadline = milliseconds(1000);
  Configuration->Classes[Class.Id] = Class;
  client_account Account;
  Account.Id = client_account_id("pindos");
  Account.KeyHash = hashAccountKey("key");
  Configuration->Accounts[Account.Id] = Account;
  return Configuration;
}

served_request requestWith(const std::string &Body,
                           const std::string &Class = "survey") {
  served_request Request{"POST", "/v1/chat/completions", {}, {}, Body};
  Request.Headers = {{"authorization", "Bearer key"}, {"X-Work-Class", Class}};
  return Request;
}

const std::string ValidBody =
    R"({"messages":[{"role":"user","content":"hello"}],"stream":true})";

std::variant<chat_request, refusal> parse(const served_request &Request) {
  return parseChatRequest(Request,
                          {request_id("r1"),
                           id_origin::Caller,
                           {client_account_id("pindos"), {}, {}, {}, 1}},
                          makeConfiguration(), Start, unix_millis(1));
}

std::string codeOf(const served_request &Request) {
  auto Parsed = parse(Request);
  REQUIRE(std::holds_alternative<refusal>(Parsed));
  CHECK(std::get<refusal>(Parsed).Run == run_state::NotRun);
  return std::get<refusal>(Parsed).Code;
}

} // namespace

TEST_CASE("a valid request is parsed") {
  auto Parsed = parse(requestWith(ValidBody));
  REQUIRE(std::holds_alternative<chat_request>(Parsed));
  CHECK(std::get<chat_request>(Parsed).Mode == response_mode::Streamed);
  CHECK(std::get<chat_request>(Parsed).Deadline == Start + milliseconds(1000));
}

TEST_CASE("requests share the segments of equal messages, never the last") {
  const auto SegmentsOf = [](const std::string &Messages) {
    auto Parsed = parse(requestWith("{\"messages\":[" + Messages + "]}"));
    REQUIRE(std::holds_alternative<chat_request>(Parsed));
    return std::get<chat_request>(Parsed).SharedSegments;
  };
  const std::string System = R"({"role":"system","content":"be brief"},)";
  const std::string First = R"({"role":"user","content":"first"})";
  const std::string Second = R"({"role":"user","content":"second"})";
  CHECK(SegmentsOf(First).empty());
  CHECK(SegmentsOf(System + First).size() == 1);
  CHECK(SegmentsOf(System + First) == SegmentsOf(System + Second));
  CHECK(SegmentsOf(First + "," + Second).size() == 1);
  CHECK(SegmentsOf(First + "," + Second) != SegmentsOf(System + Second));
}

TEST_CASE("each kind of invalid input has its own error code") {
  CHECK(codeOf(requestWith("{")) == "bad_json");
  CHECK(codeOf(requestWith("{}")) == "bad_messages");
  CHECK(codeOf(requestWith(R"({"messages":[{"role":1}]})")) == "bad_messages");
  CHECK(codeOf(requestWith(ValidBody, "nothing")) == "unknown_class");
  served_request BadToken = requestWith(ValidBody);
  BadToken.Headers.emplace_back("X-Session-Token", "nonsense");
  CHECK(codeOf(BadToken) == "bad_session");
  served_request BadId = requestWith(ValidBody);
  BadId.Headers.emplace_back("X-Request-Id", std::string(129, 'x'));
  auto Identity = identifyCaller(BadId, *makeConfiguration(), "issued");
  CHECK(std::get<refusal>(Identity).Code == "bad_request_id");
}

TEST_CASE(
    "an unknown key is refused, and an id is issued if the caller sent none") {
  served_request Request = requestWith(ValidBody);
  CHECK(std::get<caller_identity>(
            identifyCaller(Request, *makeConfiguration(), "issued"))
            .Id == request_id("issued"));
  Request.Headers[0].second = "Bearer other";
  CHECK(
      std::get<refusal>(identifyCaller(Request, *makeConfiguration(), "issued"))
          .Code == "unknown_account");
}

TEST_CASE("mutated bodies are parsed or refused without a crash") {
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Body = ValidBody;
    for (unsigned Count = 1 + Random() % 5; Count > 0; --Count)
      Body[Random() % Body.size()] = static_cast<char>(Random());
    (void)parse(requestWith(Body));
  }
}
