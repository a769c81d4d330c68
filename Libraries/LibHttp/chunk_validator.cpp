#include "LibHttp/chunk_validator.h"

#include "LibHttp/http_message.h"

#include <algorithm>

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

std::optional<std::size_t> chunk_validator::consume(std::string_view Bytes) {
  std::size_t Consumed = 0;
  while (Consumed < Bytes.size() && !isComplete()) {
    if (Position == position::InData) {
      Consumed += skipData(Bytes.substr(Consumed));
      continue;
    }
    if (!validateByte(Bytes[Consumed]))
      return std::nullopt;
    ++Consumed;
  }
  return Consumed;
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
  case position::AfterSize:
    return endSize(Byte);
  case position::InExtension:
    return validateExtensionByte(Byte);
  case position::InQuotes:
  case position::AfterBackslash:
    return validateQuotedByte(Byte);
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
  return endSize(Byte);
}

// Some senders pad the size with spaces.
bool chunk_validator::endSize(char Byte) {
  if (Byte == ' ')
    Position = position::AfterSize;
  else
    Position = Byte == '\r' ? position::AfterSizeLine : position::InExtension;
  return Byte == ' ' || Byte == '\r' || Byte == ';';
}

bool chunk_validator::validateExtensionByte(char Byte) {
  if (Byte == '\r')
    Position = position::AfterSizeLine;
  else if (Byte == '"')
    Position = position::InQuotes;
  return Byte == '\r' || Byte == '"' || Byte == ';' || Byte == '=' ||
         isBlank(Byte) || isTokenByte(Byte);
}

bool chunk_validator::validateQuotedByte(char Byte) {
  if (Position == position::AfterBackslash)
    Position = position::InQuotes;
  else if (Byte == '\\')
    Position = position::AfterBackslash;
  else if (Byte == '"')
    Position = position::InExtension;
  return !isControlByte(Byte);
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
