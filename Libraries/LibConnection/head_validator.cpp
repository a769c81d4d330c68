#include "LibConnection/head_validator.h"

#include "LibConnection/message_head.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <utility>

namespace azurehaven {

namespace {

/// How a status line begins: 'd' stands for a digit, 's' for the first digit of
/// a status. Source: RFC 9112, section 4; RFC 9110, section 15.
constexpr std::string_view StatusLineBegin = "HTTP/1.d sdd ";
/// Some servers leave out the space before an empty reason phrase.
constexpr std::size_t MinStatusLineLength = StatusLineBegin.size() - 1;

bool isStatusLineByte(std::size_t Position, char Byte) {
  if (Position >= StatusLineBegin.size())
    return true;
  switch (StatusLineBegin[Position]) {
  case 'd':
    return Byte >= '0' && Byte <= '9';
  case 's':
    return Byte >= '1' && Byte <= '5';
  default:
    return Byte == StatusLineBegin[Position];
  }
}

} // namespace

bool head_validator::validate(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (Complete)
      return true;
    if (!validateByte(Byte))
      return false;
  }
  return true;
}

bool head_validator::validateByte(char Byte) {
  ++Size;
  const char Before = Previous;
  Previous = Byte;
  if (Byte == '\n')
    return Before == '\r' && validateLineEnd();
  if (Before == '\r')
    return false;
  if (Byte == '\r')
    return true;
  const bool IsFold =
      LineLength == 0 && Lines > 0 && (Byte == ' ' || Byte == '\t');
  const bool IsControl =
      (Byte >= 0 && Byte < ' ' && Byte != '\t') || Byte == 127;
  if (IsFold || IsControl || (Lines == 0 && !isStartLineByte(Byte)))
    return false;
  ++LineLength;
  return true;
}

bool head_validator::validateLineEnd() {
  const std::size_t Length = std::exchange(LineLength, 0);
  if (Lines == 0 && Kind == head_kind::Response && Length < MinStatusLineLength)
    return false;
  // Empty lines before the start line are allowed; the one after the header
  // fields ends the head.
  if (Length == 0 && Lines > 0)
    Complete = true;
  if (Length > 0)
    ++Lines;
  return true;
}

bool head_validator::isStartLineByte(char Byte) const {
  return Kind == head_kind::Request || isStatusLineByte(LineLength, Byte);
}

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
    return strcasecmp(Field, Name.c_str()) == 0;
  };
  if (std::any_of(Fields.begin(), Fields.end(), IsName))
    return true;
  for (const auto &[Key, Value] : Headers) {
    if (strcasecmp(Key.c_str(), "connection") != 0)
      continue;
    std::size_t Begin = 0;
    while (Begin < Value.size()) {
      std::size_t End = std::min(Value.find(',', Begin), Value.size());
      std::size_t First = Value.find_first_not_of(" \t", Begin);
      std::size_t Last = Value.find_last_not_of(" \t", End - 1);
      if (First < End && Last != std::string::npos && Last >= First &&
          strcasecmp(Value.substr(First, Last - First + 1).c_str(),
                     Name.c_str()) == 0)
        return true;
      Begin = End + 1;
    }
  }
  return false;
}

} // namespace azurehaven
