#include "LibConnection/head_validator.h"

#include "LibConnection/message_head.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace azurehaven {

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
  if (Byte == '\n') {
    if (Before != '\r')
      return false;
    // Empty lines before the start line are allowed; the one after the header
    // fields ends the head.
    if (LineLength == 0 && Lines > 0)
      Complete = true;
    if (LineLength > 0)
      ++Lines;
    LineLength = 0;
    return true;
  }
  if (Before == '\r')
    return false;
  if (Byte == '\r')
    return true;
  const bool IsFold =
      LineLength == 0 && Lines > 0 && (Byte == ' ' || Byte == '\t');
  const bool IsControl =
      (Byte >= 0 && Byte < ' ' && Byte != '\t') || Byte == 127;
  ++LineLength;
  return !IsFold && !IsControl;
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
