#pragma once

#include <string_view>

namespace azurehaven {

/// Trailers are the fields behind a body in chunks; they have no start line.
enum class head_kind { Request, Response, Trailers };

/// Rejects message heads that two HTTP implementations may parse differently:
/// bare line feeds, folded fields, control characters, malformed start lines,
/// field names that are no token. Source: RFC 9112, sections 2.2 and 3 to 5.
class head_validator {
public:
  explicit head_validator(head_kind Kind)
      : Kind(Kind), IsStartLine(Kind != head_kind::Trailers) {}

  /// Checks bytes up to the end of the head; returns false at the first byte
  /// that is not allowed.
  bool validate(std::string_view Bytes);
  bool isComplete() const { return Complete; }
  /// Bytes of the head validated so far.
  std::size_t size() const { return Size; }
  void reset() { *this = head_validator(Kind); }

private:
  enum class request_line_part { Method, Target, Version };

  bool validateByte(char Byte);
  bool validateLineEnd();
  bool validateStartLineEnd(std::size_t Length);
  bool validateLineByte(char Byte);
  bool validateStartLineByte(char Byte);
  bool validateRequestLineByte(char Byte);
  bool validateFieldByte(char Byte);

  head_kind Kind;
  char Previous = '\n';
  std::size_t LineLength = 0;
  request_line_part RequestLinePart = request_line_part::Method;
  std::size_t PartLength = 0;
  bool IsStartLine;
  /// Whether the line is a field whose value has begun.
  bool IsInValue = false;
  std::size_t Size = 0;
  bool Complete = false;
};

} // namespace azurehaven
