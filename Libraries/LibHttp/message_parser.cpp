#include "LibHttp/message_parser.h"

#include <utility>

namespace azurehaven {

namespace {

// Results of a callback. At the end of a head, http_parser takes 1 to mean that
// the message has no body.
constexpr int Continue = 0;
constexpr int Stop = 1;
constexpr int StopAtHead = -1;

} // namespace

message_parser::message_parser(head_kind Kind)
    : Type(Kind == head_kind::Request ? HTTP_REQUEST : HTTP_RESPONSE),
      Validator(Kind) {
  resetMessage();
}

message_parser &message_parser::self(http_parser *Parser) {
  return *static_cast<message_parser *>(Parser->data);
}

const http_parser_settings &message_parser::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings New;
    http_parser_settings_init(&New);
    New.on_url = [](http_parser *Parser, const char *At, std::size_t Size) {
      self(Parser).Target.append(At, Size);
      return Continue;
    };
    New.on_header_field = [](http_parser *Parser, const char *At,
                             std::size_t Size) {
      self(Parser).addFieldName({At, Size});
      return Continue;
    };
    New.on_header_value = [](http_parser *Parser, const char *At,
                             std::size_t Size) {
      self(Parser).addFieldValue({At, Size});
      return Continue;
    };
    New.on_headers_complete = [](http_parser *Parser) {
      return self(Parser).finishHead();
    };
    New.on_body = [](http_parser *Parser, const char *At, std::size_t Size) {
      message_parser &Self = self(Parser);
      Self.HasBodyProgressed = true;
      if (Self.takeBodyPart({At, Size}))
        return Continue;
      Self.reject(message_fault::BodyTooLarge);
      return Stop;
    };
    New.on_message_complete = [](http_parser *Parser) {
      self(Parser).IsParsedWhole = true;
      http_parser_pause(Parser, 1);
      return Continue;
    };
    return New;
  }();
  return Settings;
}

void message_parser::addFieldName(std::string_view Part) {
  http_headers &Headers = HeadComplete ? Trailers : Fields;
  if (Headers.empty() || FieldValueStarted)
    Headers.emplace_back();
  FieldValueStarted = false;
  Headers.back().first.append(Part);
}

void message_parser::addFieldValue(std::string_view Part) {
  http_headers &Headers = HeadComplete ? Trailers : Fields;
  FieldValueStarted = true;
  Headers.back().second.append(Part);
}

int message_parser::finishHead() {
  for (auto &[Name, Value] : Fields)
    Value = std::string(trimBlanks(Value));
  Framing = takeHead();
  if (!Framing) {
    reject(message_fault::Malformed);
    return StopAtHead;
  }
  // An upgrade is not offered, so that the message is one of HTTP/1.1 to its
  // end. Source: RFC 9110, section 7.8.
  Parser.upgrade = 0;
  FieldValueStarted = false;
  HeadComplete = !isInterimHead();
  return Continue;
}

std::size_t message_parser::consume(std::string_view Bytes) {
  std::size_t Consumed = 0;
  while (Consumed < Bytes.size() && !Complete && Fault == message_fault::None) {
    const std::string_view Rest = Bytes.substr(Consumed);
    Consumed += HeadComplete ? consumeBody(Rest) : consumeHead(Rest);
  }
  return Consumed;
}

std::size_t message_parser::consumeHead(std::string_view Bytes) {
  const std::size_t SizeBefore = Validator.size();
  if (!Validator.validate(Bytes)) {
    reject(message_fault::Malformed);
    return 0;
  }
  const std::size_t Size = Validator.size() - SizeBefore;
  parse(Bytes.substr(0, Size));
  if (Fault != message_fault::None || !Validator.isComplete())
    return Size;
  checkEnd();
  if (isInterimHead())
    resetHead();
  return Size;
}

std::size_t message_parser::consumeBody(std::string_view Bytes) {
  const auto Size = Framing->consume(Bytes);
  if (!Size) {
    reject(message_fault::Malformed);
    return 0;
  }
  parse(Bytes.substr(0, *Size));
  checkEnd();
  return *Size;
}

void message_parser::parse(std::string_view Bytes) {
  if (Fault != message_fault::None)
    return;
  const std::size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  const http_errno Error = HTTP_PARSER_ERRNO(&Parser);
  if (Error == HPE_HEADER_OVERFLOW)
    return reject(message_fault::OverheadTooLarge);
  const bool IsParsed =
      Error == HPE_OK || (IsParsedWhole && Error == HPE_PAUSED);
  if (!IsParsed || Parsed != Bytes.size())
    return reject(message_fault::Malformed);
  countOverhead(Parsed);
}

void message_parser::checkEnd() {
  if (Fault != message_fault::None)
    return;
  const bool EndsHere = Framing && Framing->isComplete();
  // Implementations that merge trailers into the head would read another end.
  if (EndsHere != IsParsedWhole || (EndsHere && hasFramingField(Trailers)))
    return reject(message_fault::Malformed);
  Complete = EndsHere && HeadComplete;
}

void message_parser::countOverhead(std::size_t Bytes) {
  OverheadBytes =
      std::exchange(HasBodyProgressed, false) ? 0 : OverheadBytes + Bytes;
  if (OverheadBytes > overheadLimitBytes())
    reject(message_fault::OverheadTooLarge);
}

void message_parser::reject(message_fault NewFault) {
  if (Fault == message_fault::None)
    Fault = NewFault;
}

void message_parser::finishInput() {
  if (Complete || Fault != message_fault::None)
    return;
  http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  Complete = IsParsedWhole && Framing && Framing->endsWithConnection();
  if (!Complete)
    reject(message_fault::Malformed);
}

void message_parser::resetHead() {
  http_parser_init(&Parser, Type);
  Parser.data = this;
  Validator.reset();
  Framing.reset();
  Target.clear();
  Fields.clear();
  Trailers.clear();
  FieldValueStarted = false;
  HeadComplete = false;
  IsParsedWhole = false;
}

void message_parser::resetMessage() {
  resetHead();
  OverheadBytes = 0;
  HasBodyProgressed = false;
  Complete = false;
  Fault = message_fault::None;
}

} // namespace azurehaven
