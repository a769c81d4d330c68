#include "LibSession/session_token.h"

#include "LibTypes/hexadecimal.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace azurehaven {

namespace {

constexpr std::size_t TokenLimitBytes = 2048;

std::string computeMac(const std::string &Payload, const session_key &Key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Key.Secret.data(), static_cast<int>(Key.Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<const char *>(Digest.data()), Length};
}

bool areEqualInConstantTime(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

error invalidToken(const char *Reason) {
  return {error_code::InvalidInput, std::string("session token: ") + Reason};
}

result<session> decodePayload(const std::string &Payload) {
  auto Document = nlohmann::json::parse(Payload, nullptr, false);
  if (!Document.is_array() || Document.size() != 5 ||
      !Document[3].is_number_integer())
    return invalidToken("malformed");
  for (int Index : {0, 1, 2, 4})
    if (!Document[Index].is_string())
      return invalidToken("malformed");
  return session{client_account_id(Document[0].get<std::string>()),
                 class_id(Document[1].get<std::string>()),
                 version_id(Document[2].get<std::string>()),
                 unix_millis(Document[3].get<std::int64_t>()),
                 Document[4].get<std::string>()};
}

} // namespace

result<std::string> issueSessionToken(const session &Session,
                                      const std::vector<session_key> &Keys) {
  if (Keys.empty())
    return error{error_code::Unavailable, "no session key is configured"};
  const session_key &Key = Keys.back();
  const std::string Payload =
      nlohmann::json::array({Session.Account.text(), Session.Class.text(),
                             Session.Version.text(), Session.StartedAt.count(),
                             Session.Nonce})
          .dump();
  return toHexadecimal(Payload) + "." + toHexadecimal(Key.Id) + "." +
         toHexadecimal(computeMac(Payload, Key));
}

result<session> verifySessionToken(const std::string &Token,
                                   const client_account_id &Account,
                                   const std::vector<session_key> &Keys,
                                   unix_millis Now) {
  const std::size_t FirstDot = Token.find('.');
  const std::size_t SecondDot = Token.find('.', FirstDot + 1);
  if (Token.size() > TokenLimitBytes || FirstDot == std::string::npos ||
      SecondDot == std::string::npos)
    return invalidToken("malformed");
  auto Payload = fromHexadecimal(std::string_view(Token).substr(0, FirstDot));
  auto KeyId = fromHexadecimal(
      std::string_view(Token).substr(FirstDot + 1, SecondDot - FirstDot - 1));
  auto Mac = fromHexadecimal(std::string_view(Token).substr(SecondDot + 1));
  if (!Payload || !KeyId || !Mac)
    return invalidToken("malformed");
  auto Key = std::find_if(Keys.begin(), Keys.end(), [&](const auto &Candidate) {
    return Candidate.Id == *KeyId;
  });
  if (Key == Keys.end())
    return invalidToken("signed with a key that is no longer accepted");
  if (!areEqualInConstantTime(computeMac(*Payload, *Key), *Mac))
    return invalidToken("wrong signature");
  TRY(session Session, decodePayload(*Payload));
  if (Session.Account != Account)
    return invalidToken("issued to another account");
  if (Now.count() - Session.StartedAt.count() > SessionLifetime.count())
    return invalidToken("expired");
  return Session;
}

} // namespace azurehaven
