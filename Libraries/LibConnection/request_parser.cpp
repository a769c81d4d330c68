#include "LibConnection/request_parser.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace azurehaven {

namespace {

constexpr int Continue = 0;
constexpr int Stop = 1;

bool hasOneHost(const http_headers &Headers) {
  return countFields(Headers, "Host") == 1;
}

} // namespace

caller_limits largerOf(const caller_limits &One, const caller_limits &Other) {
  return {std::max(One.HeaderBytes, Other.HeaderBytes),
          std::max(One.BodyBytes, Other.BodyBytes),
          std::max(One.HeaderTimeout, Other.HeaderTimeout),
          std::max(One.IdleTimeout, Other.IdleTimeout)};
}

request_parser::request_parser(caller_limits Limits) : Limits(Limits) {
  reset();
}

request_parser &request_parser::self(http_parser *Parser) {
  return *static_cast<request_parser *>(Parser->data);
}

const http_parser_settings &request_parser::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings New;
    http_parser_settings_init(&New);
    New.on_url = [](http_parser *Parser, const char *At, std::size_t Size) {
      self(Parser).Head.Target.append(At, Size);
      return Continue;
    };
    New.on_header_field = [](http_parser *Parser, const char *At,
                             std::size_t Size) {
      request_parser &Self = self(Parser);
      if (Self.HeadComplete) // Trailer fields are not forwarded.
        return Continue;
      if (Self.Head.Headers.empty() || Self.FieldValueStarted)
        Self.Head.Headers.emplace_back();
      Self.FieldValueStarted = false;
      Self.Head.Headers.back().first.append(At, Size);
      return Continue;
    };
    New.on_header_value = [](http_parser *Parser, const char *At,
                             std::size_t Size) {
      request_parser &Self = self(Parser);
      if (Self.HeadComplete)
        return Continue;
      Self.FieldValueStarted = true;
      Self.Head.Headers.back().second.append(At, Size);
      return Continue;
    };
    New.on_headers_complete = [](http_parser *Parser) {
      return self(Parser).finishHead();
    };
    New.on_body = [](http_parser *Parser, const char *At, std::size_t Size) {
      request_parser &Self = self(Parser);
      if (Self.Body.size() + Size > Self.Limits.BodyBytes) {
        Self.ParseError = request_parse_error::BodyTooLarge;
        return Stop;
      }
      Self.Body.append(At, Size);
      return Continue;
    };
    New.on_message_complete = [](http_parser *Parser) {
      self(Parser).Complete = true;
      http_parser_pause(Parser, 1);
      return Continue;
    };
    return New;
  }();
  return Settings;
}

// On failure returns -1 rather than Stop: at the end of the head, http_parser
// takes 1 to mean that the message has no body.
int request_parser::finishHead() {
  Head.Method = http_method_str(static_cast<http_method>(Parser.method));
  Head.KeepAlive = http_should_keep_alive(&Parser) != 0;
  HeadComplete = true;
  const bool IsValid = Parser.http_major == 1 && Parser.http_minor <= 1 &&
                       Head.Target.starts_with('/') && hasOneHost(Head.Headers);
  if (!IsValid) {
    ParseError = request_parse_error::Malformed;
    return -1;
  }
  constexpr auto NoLength = std::numeric_limits<std::uint64_t>::max();
  if (Parser.content_length != NoLength &&
      Parser.content_length > Limits.BodyBytes) {
    ParseError = request_parse_error::BodyTooLarge;
    return -1;
  }
  return Continue;
}

void request_parser::updateLimits(const caller_limits &NewLimits) {
  Limits = hasStarted() ? largerOf(Limits, NewLimits) : NewLimits;
}

std::size_t request_parser::consume(std::string_view Bytes) {
  if (Complete || ParseError != request_parse_error::None)
    return 0;
  if (!HeadComplete) {
    if (!Validator.validate(Bytes))
      ParseError = request_parse_error::Malformed;
    else if (Validator.size() > Limits.HeaderBytes)
      ParseError = request_parse_error::HeadTooLarge;
    if (ParseError != request_parse_error::None)
      return 0;
  }
  const std::size_t Consumed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  const http_errno Error = HTTP_PARSER_ERRNO(&Parser);
  const bool IsParsed = Error == HPE_OK || (Complete && Error == HPE_PAUSED);
  if (!IsParsed && ParseError == request_parse_error::None)
    ParseError = Error == HPE_HEADER_OVERFLOW
                     ? request_parse_error::HeadTooLarge
                     : request_parse_error::Malformed;
  if (Parser.upgrade && !Complete && ParseError == request_parse_error::None)
    ParseError = request_parse_error::Malformed;
  return Consumed;
}

void request_parser::reset() {
  http_parser_init(&Parser, HTTP_REQUEST);
  Parser.data = this;
  Validator.reset();
  Head = {};
  Body.clear();
  FieldValueStarted = false;
  HeadComplete = false;
  Complete = false;
  ParseError = request_parse_error::None;
}

} // namespace azurehaven
