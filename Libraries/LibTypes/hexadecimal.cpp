#include "LibTypes/hexadecimal.h"

#include <charconv>

namespace azurehaven {

std::string toHexadecimal(std::string_view Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Bytes.size());
  for (unsigned char Byte : Bytes) {
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 15]);
  }
  return Text;
}

std::optional<std::string> fromHexadecimal(std::string_view Text) {
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  for (std::size_t Index = 0; Index < Text.size(); Index += 2) {
    unsigned char Byte = 0;
    const char *Begin = Text.data() + Index;
    auto [Stop, Code] = std::from_chars(Begin, Begin + 2, Byte, 16);
    if (Code != std::errc() || Stop != Begin + 2)
      return std::nullopt;
    Bytes.push_back(static_cast<char>(Byte));
  }
  return Bytes;
}

} // namespace azurehaven
