#include "LibTypes/utf8.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace azurehaven {

namespace {

bool isContinuation(char Byte) {
  return (static_cast<std::uint8_t>(Byte) & 0xc0) == 0x80;
}

/// Bytes of the character that the text begins with; zero if it is not valid.
std::size_t characterSize(std::string_view Text) {
  const auto First = static_cast<std::uint8_t>(Text.front());
  if (First < 0x80)
    return 1;
  const std::size_t Size = First >= 0xf0 ? 4 : First >= 0xe0 ? 3 : 2;
  const bool IsComplete =
      First >= 0xc2 && First <= 0xf4 && Text.size() >= Size &&
      std::all_of(Text.begin() + 1,
                  Text.begin() + static_cast<std::ptrdiff_t>(Size),
                  isContinuation);
  if (!IsComplete)
    return 0;
  // Overlong forms, surrogates, and code points beyond the last one.
  const auto Second = static_cast<std::uint8_t>(Text[1]);
  const bool IsExcluded =
      (First == 0xe0 && Second < 0xa0) || (First == 0xed && Second >= 0xa0) ||
      (First == 0xf0 && Second < 0x90) || (First == 0xf4 && Second >= 0x90);
  return IsExcluded ? 0 : Size;
}

bool isValidUtf8(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t Size = characterSize(Text);
    if (Size == 0)
      return false;
    Text.remove_prefix(Size);
  }
  return true;
}

std::string escapedByte(char Byte) {
  constexpr std::array<char, 17> Digits{"0123456789abcdef"};
  const auto Value = static_cast<std::uint8_t>(Byte);
  return {'\\', 'x', Digits[Value >> 4], Digits[Value & 0xf]};
}

} // namespace

std::string escapeInvalidUtf8(std::string_view Text) {
  if (isValidUtf8(Text))
    return std::string(Text);
  std::string Escaped;
  while (!Text.empty()) {
    const std::size_t Size = characterSize(Text);
    if (Size == 0)
      Escaped += escapedByte(Text.front());
    else if (Text.front() == '\\')
      Escaped += "\\\\";
    else
      Escaped += Text.substr(0, Size);
    Text.remove_prefix(std::max<std::size_t>(Size, 1));
  }
  return Escaped;
}

} // namespace azurehaven
