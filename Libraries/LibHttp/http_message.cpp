#include "LibHttp/http_message.h"

#include <strings.h>

#include <algorithm>

namespace azurehaven {

bool equalsIgnoringCase(std::string_view Text, std::string_view Other) {
  return Text.size() == Other.size() &&
         strncasecmp(Text.data(), Other.data(), Text.size()) == 0;
}

std::string_view trimBlanks(std::string_view Text) {
  constexpr const char *Blanks = " \t";
  const std::size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Blanks) + 1 - Begin);
}

bool isFieldValue(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), isControlByte);
}

bool isTokenByte(char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= 'a' && Byte <= 'z') ||
         Marks.find(Byte) != std::string_view::npos;
}

std::string headerValue(const http_headers &Headers, const std::string &Name) {
  for (const auto &[Key, Value] : Headers)
    if (equalsIgnoringCase(Key, Name))
      return Value;
  return {};
}

std::size_t countFields(const http_headers &Headers, const std::string &Name) {
  return static_cast<std::size_t>(
      std::count_if(Headers.begin(), Headers.end(), [&](const auto &Field) {
        return equalsIgnoringCase(Field.first, Name);
      }));
}

} // namespace azurehaven
