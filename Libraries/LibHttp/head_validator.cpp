#include "LibHttp/head_validator.h"

#include "LibHttp/http_message.h"

#include <utility>

namespace azurehaven {

namespace {

/// How a status line begins: 'd' stands for a digit, 's' for the first digit of
/// a status. Source: RFC 9112, section 4; RFC 9110, section 15.
constexpr std::string_view StatusLineBegin = "HTTP/1.d sdd ";
/// Some servers leave out the space before an empty reason phrase.
constexpr std::size_t MinStatusLineLength = StatusLineBegin.size() - 1;

constexpr std::string_view Version = "HTTP/1.d";

/// Whether the byte may stand at the position of a pattern like the one above.
bool matchesPattern(std::string_view Pattern, std::size_t Position, char Byte) {
  switch (Pattern[Position]) {
  case 'd':
    return Byte >= '0' && Byte <= '9';
  case 's':
    return Byte >= '1' && Byte <= '5';
  default:
    return Byte == Pattern[Position];
  }
}

bool isStatusLineByte(std::size_t Position, char Byte) {
  return Position >= StatusLineBegin.size() ||
         matchesPattern(StatusLineBegin, Position, Byte);
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
  return Byte == '\r' || validateLineByte(Byte);
}

bool head_validator::validateLineByte(char Byte) {
  if (isControlByte(Byte))
    return false;
  const bool IsValid =
      IsStartLine ? validateStartLineByte(Byte) : validateFieldByte(Byte);
  ++LineLength;
  return IsValid;
}

bool head_validator::validateStartLineByte(char Byte) {
  return Kind == head_kind::Request ? validateRequestLineByte(Byte)
                                    : isStatusLineByte(LineLength, Byte);
}

// Exactly one space stands between the parts: some implementations take any
// blanks for it, and so read another target.
bool head_validator::validateRequestLineByte(char Byte) {
  if (Byte == ' ') {
    if (RequestLinePart == request_line_part::Version)
      return false;
    RequestLinePart = RequestLinePart == request_line_part::Method
                          ? request_line_part::Target
                          : request_line_part::Version;
    return std::exchange(PartLength, 0) > 0;
  }
  const std::size_t Position = PartLength++;
  switch (RequestLinePart) {
  case request_line_part::Method:
    return isTokenByte(Byte);
  case request_line_part::Target:
    return !isBlank(Byte);
  case request_line_part::Version:
    break;
  }
  return Position < Version.size() && matchesPattern(Version, Position, Byte);
}

// A folded line begins with a blank, which no field name does.
bool head_validator::validateFieldByte(char Byte) {
  if (IsInValue)
    return true;
  if (Byte != ':')
    return isTokenByte(Byte);
  IsInValue = true;
  return LineLength > 0;
}

bool head_validator::validateLineEnd() {
  const std::size_t Length = std::exchange(LineLength, 0);
  if (IsStartLine)
    return validateStartLineEnd(Length);
  if (Length == 0)
    Complete = true;
  return std::exchange(IsInValue, false) || Length == 0;
}

bool head_validator::validateStartLineEnd(std::size_t Length) {
  if (Kind == head_kind::Response && Length < MinStatusLineLength)
    return false;
  // Empty lines before the start line of a request are allowed.
  IsStartLine = Length == 0;
  return Kind == head_kind::Response || IsStartLine ||
         (RequestLinePart == request_line_part::Version &&
          PartLength == Version.size());
}

} // namespace azurehaven
