#pragma once

#include "LibHttp/head_validator.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace azurehaven {

/// Rejects bodies in chunks that two HTTP implementations may read differently:
/// chunks that are longer than they say, sizes in two parts, control
/// characters, bare line feeds, malformed trailers. Source: RFC 9112,
/// section 7.1.
class chunk_validator {
public:
  /// Checks bytes up to the end of the body; returns how many belong to it, and
  /// nullopt if one is not allowed.
  std::optional<std::size_t> consume(std::string_view Bytes);
  /// Whether the body has ended, with the fields behind its last chunk.
  bool isComplete() const { return Trailers.isComplete(); }

private:
  enum class position {
    BeforeSize,
    InSize,
    /// Spaces behind the size.
    AfterSize,
    InExtension,
    /// A quoted value of an extension.
    InQuotes,
    AfterBackslash,
    AfterSizeLine,
    InData,
    AfterData,
    AfterDataReturn,
    InTrailers
  };

  std::size_t skipData(std::string_view Bytes);
  bool validateByte(char Byte);
  bool validateSizeByte(char Byte);
  bool endSize(char Byte);
  bool validateExtensionByte(char Byte);
  bool validateQuotedByte(char Byte);
  bool finishSizeLine(char Byte);
  bool expect(char Byte, char Expected, position Next);

  position Position = position::BeforeSize;
  std::uint64_t BytesLeft = 0;
  head_validator Trailers{head_kind::Trailers};
};

} // namespace azurehaven
