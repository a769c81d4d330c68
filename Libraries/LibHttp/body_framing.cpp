#include "LibHttp/body_framing.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace azurehaven {

namespace {

constexpr std::string_view LengthField = "Content-Length";
constexpr std::string_view CodingField = "Transfer-Encoding";

std::optional<std::uint64_t> parseLength(std::string_view Text) {
  std::uint64_t Length = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Length);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Length;
}

bool isFramingName(std::string_view Name) {
  return equalsIgnoringCase(Name, LengthField) ||
         equalsIgnoringCase(Name, CodingField);
}

// Implementations that turn field names into variables read "_" as "-", and
// http_parser reads one byte behind the coding field's name as a part of it.
bool isFramingNameLookalike(const std::string &Name) {
  std::string WithHyphens = Name;
  std::replace(WithHyphens.begin(), WithHyphens.end(), '_', '-');
  const bool IsMisspelt = WithHyphens != Name && isFramingName(WithHyphens);
  const std::string_view Begin =
      std::string_view(Name).substr(0, CodingField.size());
  const bool IsExtended = Name.size() > CodingField.size() &&
                          equalsIgnoringCase(Begin, CodingField);
  return IsMisspelt || IsExtended;
}

bool hasLookalike(const http_headers &Headers) {
  return std::any_of(Headers.begin(), Headers.end(), [](const auto &Field) {
    return isFramingNameLookalike(Field.first);
  });
}

} // namespace

bool hasFramingField(const http_headers &Headers) {
  return hasLookalike(Headers) ||
         std::any_of(Headers.begin(), Headers.end(), [](const auto &Field) {
           return isFramingName(Field.first);
         });
}

std::optional<body_framing> declaredFraming(const http_headers &Headers,
                                            http_minor_version Version,
                                            body_framing Undeclared) {
  if (hasLookalike(Headers))
    return std::nullopt;
  const std::size_t Lengths = countFields(Headers, std::string(LengthField));
  const std::size_t Codings = countFields(Headers, std::string(CodingField));
  if (Lengths + Codings > 1)
    return std::nullopt;
  if (Codings == 1) {
    // Other codings would have to be undone, and the receiver isn't told.
    const bool IsChunked = equalsIgnoringCase(
        trimBlanks(headerValue(Headers, std::string(CodingField))), "chunked");
    if (Version.Number == 0 || !IsChunked)
      return std::nullopt;
    return body_framing::inChunks();
  }
  if (Lengths == 0)
    return Undeclared;
  const auto Length =
      parseLength(trimBlanks(headerValue(Headers, std::string(LengthField))));
  if (!Length)
    return std::nullopt;
  return body_framing::ofLength(*Length);
}

std::optional<std::size_t> body_framing::consume(std::string_view Bytes) {
  switch (Kind) {
  case kind::Length: {
    const std::size_t Size = std::min<std::uint64_t>(Bytes.size(), BytesLeft);
    BytesLeft -= Size;
    return Size;
  }
  case kind::Chunks:
    return Chunks.consume(Bytes);
  case kind::UntilClose:
    break;
  }
  return Bytes.size();
}

bool body_framing::isComplete() const {
  switch (Kind) {
  case kind::Length:
    return BytesLeft == 0;
  case kind::Chunks:
    return Chunks.isComplete();
  case kind::UntilClose:
    break;
  }
  return false;
}

} // namespace azurehaven
