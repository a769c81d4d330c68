#pragma once

#include "LibConnection/head_validator.h"

#include <cstdint>
#include <string_view>

namespace azurehaven {

/// Rejects bodies in chunks that two HTTP implementations may read differently:
/// chunks that are longer than they say, bare line feeds, malformed trailers.
/// Source: RFC 9112, section 7.1.
class chunk_validator {
public:
  /// Checks bytes up to the end of the body; returns false if one is not
  /// allowed.
  bool validate(std::string_view Bytes);
  void reset() { *this = chunk_validator(); }

private:
  enum class position {
    BeforeSize,
    InSize,
    InExtension,
    AfterSizeLine,
    InData,
    AfterData,
    AfterDataReturn,
    InTrailers
  };

  std::size_t skipData(std::string_view Bytes);
  bool validateByte(char Byte);
  bool validateSizeByte(char Byte);
  bool finishSizeLine(char Byte);
  bool expect(char Byte, char Expected, position Next);

  position Position = position::BeforeSize;
  std::uint64_t BytesLeft = 0;
  head_validator Trailers{head_kind::Trailers};
};

} // namespace azurehaven
