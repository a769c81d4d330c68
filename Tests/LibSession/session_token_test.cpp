#include "LibSession/session_token.h"

#include <doctest/doctest.h>

#include <random>

using namespace azurehaven;

namespace {

const std::vector<session_key> Keys = {
    {"k1", "0123456789abcdef0123456789abcdef"}};
const client_account_id Account("pindos");
const session Session{Account, class_id("survey"), version_id("ridge@1"),
                      unix_millis(1000), "nonce"};

} // namespace

TEST_CASE("a verified token yields the session's version") {
  const std::string Token = valueOf(issueSessionToken(Session, Keys));
  auto Verified = verifySessionToken(Token, Account, Keys, unix_millis(2000));
  REQUIRE_FALSE(isError(Verified));
  CHECK(valueOf(Verified).Version == version_id("ridge@1"));
}

TEST_CASE(
    "a token is valid only for its account, before expiry and unaltered") {
  const std::string Token = valueOf(issueSessionToken(Session, Keys));
  CHECK(isError(verifySessionToken(Token, client_account_id("other"), Keys,
                                   unix_millis(2000))));
  CHECK(isError(verifySessionToken(
      Token, Account, Keys, unix_millis(1001 + SessionLifetime.count()))));
  CHECK(isError(
      verifySessionToken("nonsense", Account, Keys, unix_millis(2000))));
  std::mt19937 Random(3);
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Altered = Token;
    char &Character = Altered[Random() % Altered.size()];
    const char Before = Character;
    Character = "0123456789abcdef."[Random() % 17];
    if (Character != Before)
      CHECK(isError(
          verifySessionToken(Altered, Account, Keys, unix_millis(2000))));
  }
}

TEST_CASE("all keys verify and the newest one signs") {
  const std::string Old = valueOf(issueSessionToken(Session, Keys));
  std::vector<session_key> Rotated = Keys;
  Rotated.push_back({"k2", "fedcba9876543210fedcba9876543210"});
  CHECK_FALSE(
      isError(verifySessionToken(Old, Account, Rotated, unix_millis(2000))));
  const std::string New = valueOf(issueSessionToken(Session, Rotated));
  CHECK(isError(verifySessionToken(New, Account, Keys, unix_millis(2000))));
  CHECK(isError(issueSessionToken(Session, {})));
}
