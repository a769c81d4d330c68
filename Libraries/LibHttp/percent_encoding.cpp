#include "LibHttp/percent_encoding.h"

namespace azurehaven {

namespace {

bool isUnreserved(unsigned char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '.' || Character == '_' || Character == '~';
}

} // namespace

std::string percentEncode(std::string_view Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Encoded;
  Encoded.reserve(Text.size());
  for (unsigned char Character : Text) {
    if (isUnreserved(Character)) {
      Encoded.push_back(static_cast<char>(Character));
      continue;
    }
    Encoded.push_back('%');
    Encoded.push_back(Digits[Character >> 4]);
    Encoded.push_back(Digits[Character & 15]);
  }
  return Encoded;
}

} // namespace azurehaven
