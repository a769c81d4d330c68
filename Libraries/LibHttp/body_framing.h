#pragma once

#include "LibHttp/chunk_validator.h"
#include "LibHttp/http_message.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace azurehaven {

/// Finds where the body of a message ends, and rejects bodies that two HTTP
/// implementations may end at different bytes. Source: RFC 9112, section 6.3.
class body_framing {
public:
  /// The message has no body.
  static body_framing none() { return ofLength(0); }
  static body_framing ofLength(std::uint64_t Bytes) {
    return body_framing(kind::Length, Bytes);
  }
  static body_framing inChunks() { return body_framing(kind::Chunks, 0); }
  /// The body ends with the connection.
  static body_framing untilClose() { return body_framing(kind::UntilClose, 0); }

  /// Returns how many of the bytes belong to the body; nullopt if it is
  /// malformed.
  std::optional<std::size_t> consume(std::string_view Bytes);
  /// Whether the last byte of the body has been consumed. Never true of one
  /// that ends with the connection.
  bool isComplete() const;
  bool endsWithConnection() const { return Kind == kind::UntilClose; }
  /// The length that the head declares, less what has been consumed; 0 if it
  /// declares none.
  std::uint64_t declaredBytes() const { return BytesLeft; }

private:
  enum class kind { Length, Chunks, UntilClose };

  body_framing(kind Kind, std::uint64_t BytesLeft)
      : Kind(Kind), BytesLeft(BytesLeft) {}

  kind Kind;
  std::uint64_t BytesLeft;
  chunk_validator Chunks;
};

/// Minor version of HTTP/1; chunks are known from 1 on.
struct http_minor_version {
  unsigned Number = 1;
};

/// Returns the framing that the header fields declare, Undeclared if they
/// declare none, and nullopt if two implementations may read them differently.
std::optional<body_framing> declaredFraming(const http_headers &Headers,
                                            http_minor_version Version,
                                            body_framing Undeclared);

/// Whether a field declares a body's length, or is so named that some
/// implementations take it for one that does.
bool hasFramingField(const http_headers &Headers);

} // namespace azurehaven
