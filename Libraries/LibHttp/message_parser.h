#pragma once

#include "LibHttp/body_framing.h"
#include "LibHttp/head_validator.h"

#include <http_parser.h>

#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Why a message is not accepted.
enum class message_fault {
  None,
  /// Not HTTP, or two implementations may read it differently.
  Malformed,
  /// Too many bytes that are not part of its body.
  OverheadTooLarge,
  BodyTooLarge,
};

/// Parses the messages of one connection, one at a time. http_parser takes
/// their parts out, but is lenient; head_validator and body_framing decide
/// which bytes belong to a message. One that both end at different bytes is
/// malformed.
class message_parser {
public:
  message_parser(const message_parser &) = delete;
  message_parser &operator=(const message_parser &) = delete;

  /// Parses up to the end of the message at most; returns the number of bytes
  /// consumed.
  std::size_t consume(std::string_view Bytes);

  bool hasStarted() const { return Validator.size() > 0; }
  bool isHeadComplete() const { return HeadComplete; }
  bool isComplete() const { return Complete; }

protected:
  explicit message_parser(head_kind Kind);
  virtual ~message_parser() = default;

  /// Takes the head that http_parser has read. Returns how the body ends;
  /// nullopt if the message is not accepted.
  virtual std::optional<body_framing> takeHead() = 0;
  /// Takes a part of the body. Returns false if it is too large.
  virtual bool takeBodyPart(std::string_view Bytes) = 0;
  /// Whether another head follows this one, which has no body.
  virtual bool isInterimHead() const { return false; }
  /// Limit on the head, and on the bytes between two parts of the body.
  virtual std::size_t overheadLimitBytes() const = 0;

  /// Prepares for the next message of the connection.
  void resetMessage();
  /// Ends the input, and with it a body that ends with the connection.
  void finishInput();
  void reject(message_fault NewFault);
  message_fault fault() const { return Fault; }

  http_parser Parser;
  /// What http_parser has read of the head.
  std::string Target;
  http_headers Fields;

private:
  static message_parser &self(http_parser *Parser);
  static const http_parser_settings &callbacks();
  void addFieldName(std::string_view Part);
  void addFieldValue(std::string_view Part);
  /// Returns what http_parser expects at the end of a head.
  int finishHead();
  std::size_t consumeHead(std::string_view Bytes);
  std::size_t consumeBody(std::string_view Bytes);
  void resetHead();
  void parse(std::string_view Bytes);
  /// Counts bytes that brought no body closer to its end.
  void countOverhead(std::size_t Bytes);
  /// Rejects the message unless http_parser and the framing agree on whether it
  /// ends here.
  void checkEnd();

  const http_parser_type Type;
  head_validator Validator;
  std::optional<body_framing> Framing;
  /// Fields behind a body in chunks. They are not passed on.
  http_headers Trailers;
  /// Bytes parsed since the message began or a part of its body came.
  std::size_t OverheadBytes = 0;
  bool HasBodyProgressed = false;
  bool FieldValueStarted = false;
  bool HeadComplete = false;
  /// Whether http_parser has found the end of the message.
  bool IsParsedWhole = false;
  bool Complete = false;
  message_fault Fault = message_fault::None;
};

} // namespace azurehaven
