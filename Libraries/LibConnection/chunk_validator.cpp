#include "LibConnection/chunk_validator.h"

#include <algorithm>
#include <optional>

namespace azurehaven {

namespace {

/// Far beyond any body; larger sizes would overflow.
constexpr std::uint64_t ChunkLimitBytes = std::uint64_t(1) << 56;

std::optional<unsigned> hexDigit(char Byte) {
  if (Byte >= '0' && Byte <= '9')
    return Byte - '0';
  if (Byte >= 'a' && Byte <= 'f')
    return Byte - 'a' + 10;
  if (Byte >= 'A' && Byte <= 'F')
    return Byte - 'A' + 10;
  return std::nullopt;
}

} // namespace

bool chunk_validator::validate(std::string_view Bytes) {
  while (!Bytes.empty() && !Trailers.isComplete()) {
    if (Position == position::InData) {
      Bytes.remove_prefix(skipData(Bytes));
      continue;
    }
    if (!validateByte(Bytes.front()))
      return false;
    Bytes.remove_prefix(1);
  }
  return true;
}

std::size_t chunk_validator::skipData(std::string_view Bytes) {
  const std::size_t Size = std::min<std::uint64_t>(Bytes.size(), BytesLeft);
  BytesLeft -= Size;
  if (BytesLeft == 0)
    Position = position::AfterData;
  return Size;
}

bool chunk_validator::validateByte(char Byte) {
  switch (Position) {
  case position::BeforeSize:
  case position::InSize:
    return validateSizeByte(Byte);
  case position::InExtension:
    if (Byte == '\r')
      Position = position::AfterSizeLine;
    return Byte != '\n';
  case position::AfterSizeLine:
    return finishSizeLine(Byte);
  case position::AfterData:
    return expect(Byte, '\r', position::AfterDataReturn);
  case position::AfterDataReturn:
    return expect(Byte, '\n', position::BeforeSize);
  case position::InTrailers:
    return Trailers.validate({&Byte, 1});
  case position::InData:
    break;
  }
  return false;
}

bool chunk_validator::validateSizeByte(char Byte) {
  if (const auto Digit = hexDigit(Byte)) {
    Position = position::InSize;
    BytesLeft = BytesLeft * 16 + *Digit;
    return BytesLeft < ChunkLimitBytes;
  }
  if (Position == position::BeforeSize)
    return false;
  Position = Byte == '\r' ? position::AfterSizeLine : position::InExtension;
  return Byte == '\r' || Byte == ';' || Byte == ' ' || Byte == '\t';
}

bool chunk_validator::finishSizeLine(char Byte) {
  return expect(Byte, '\n',
                BytesLeft > 0 ? position::InData : position::InTrailers);
}

bool chunk_validator::expect(char Byte, char Expected, position Next) {
  Position = Next;
  return Byte == Expected;
}

} // namespace azurehaven
