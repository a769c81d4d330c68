#include "LibScenario/scenario_parser.h"

#include <doctest/doctest.h>

#include <random>

using namespace azurehaven;

TEST_CASE("words, options, quotes, braces and comments are parsed") {
  auto Parsed =
      parseScenario("# first\n\n  ask a at=entry-1 text=\"two words\" # x\n"
                    "change c put_class body={\"id\":\"a b\"}\n",
                    "file");
  REQUIRE_FALSE(isError(Parsed));
  REQUIRE(valueOf(Parsed).size() == 2);
  CHECK(valueOf(Parsed)[0].Line == 3);
  CHECK(valueOf(Parsed)[0].option("text") == "two words");
  CHECK(valueOf(Parsed)[1].option("body") == "{\"id\":\"a b\"}");
}

TEST_CASE("errors name the file, the line and what was expected") {
  auto Unknown = parseScenario("ask a\nfrobnicate b\n", "x.scenario");
  REQUIRE(isError(Unknown));
  CHECK(errorOf(Unknown).Message.starts_with("x.scenario:2: unknown verb"));
  auto Few = parseScenario("cut entry-1\n", "x.scenario");
  CHECK(errorOf(Few).Message.find("x.scenario:1: \"cut\" has 1 words") == 0);
  auto Open = parseScenario("\nask a text=\"open\n", "x.scenario");
  CHECK(errorOf(Open).Message.starts_with("x.scenario:2:"));
}

TEST_CASE("mutated scenarios are rejected or parsed without a crash") {
  const std::string Good =
      "ask a at=entry-1 text=\"b\"\nexpect answer a whole\n";
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Text = Good;
    for (unsigned Count = 1 + Random() % 4; Count > 0; --Count)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    (void)parseScenario(Text, "mutated");
  }
}
