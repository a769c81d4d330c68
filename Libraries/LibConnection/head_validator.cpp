#include "LibConnection/head_validator.h"

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

} // namespace azurehaven
