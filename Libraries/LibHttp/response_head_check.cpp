#include "LibHttp/response_head_check.h"

#include <algorithm>

namespace azurehaven {

namespace {

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;
constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool isDecimal(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Byte) {
    return Byte >= '0' && Byte <= '9';
  });
}

bool hasClearLength(const http_headers &Headers) {
  const std::size_t Lengths = countFields(Headers, "Content-Length");
  const std::size_t Codings = countFields(Headers, "Transfer-Encoding");
  if (Lengths + Codings > 1)
    return false;
  if (Codings == 1)
    return equalsIgnoringCase(
        trimBlanks(headerValue(Headers, "Transfer-Encoding")), "chunked");
  return Lengths == 0 ||
         isDecimal(trimBlanks(headerValue(Headers, "Content-Length")));
}

} // namespace

bool isWellFormedHead(int Status, const http_headers &Headers) {
  const bool HasTokens =
      std::all_of(Headers.begin(), Headers.end(),
                  [](const auto &Field) { return isToken(Field.first); });
  return Status >= MinStatus && Status <= MaxStatus && HasTokens &&
         hasClearLength(Headers);
}

bool isEndedByConnection(const std::string &Method, int Status,
                         const http_headers &Headers) {
  const bool HasNoBody = Method == "HEAD" || Status == NoContentStatus ||
                         Status == NotModifiedStatus;
  return !HasNoBody && countFields(Headers, "Content-Length") == 0 &&
         countFields(Headers, "Transfer-Encoding") == 0;
}

} // namespace azurehaven
