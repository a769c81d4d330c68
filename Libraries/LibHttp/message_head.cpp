#include "LibHttp/message_head.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace azurehaven {

namespace {

/// Whether one element of a list that is separated by commas is this one,
/// ignoring case.
bool hasListElement(std::string_view List, std::string_view Element) {
  while (!List.empty()) {
    const std::size_t End = std::min(List.find(','), List.size());
    if (equalsIgnoringCase(trimBlanks(List.substr(0, End)), Element))
      return true;
    List.remove_prefix(std::min(End + 1, List.size()));
  }
  return false;
}

} // namespace

bool isEndedByClose(const response_head &Head) {
  return headerValue(Head.Headers, "Content-Length").empty() &&
         headerValue(Head.Headers, "Transfer-Encoding").empty();
}

bool isConnectionField(const std::string &Name, const http_headers &Headers) {
  static constexpr std::array<const char *, 9> Fields = {
      "connection",        "keep-alive", "proxy-connection",
      "transfer-encoding", "te",         "trailer",
      "content-length",    "upgrade",    "expect"};
  const auto IsName = [&](const char *Field) {
    return equalsIgnoringCase(Field, Name);
  };
  if (std::any_of(Fields.begin(), Fields.end(), IsName))
    return true;
  return std::any_of(Headers.begin(), Headers.end(), [&](const auto &Field) {
    return equalsIgnoringCase(Field.first, "connection") &&
           hasListElement(Field.second, Name);
  });
}

} // namespace azurehaven
