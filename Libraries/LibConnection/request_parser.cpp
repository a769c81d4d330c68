#include "LibConnection/request_parser.h"

#include <algorithm>

namespace azurehaven {

namespace {

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

request_parser::request_parser(caller_limits Limits)
    : message_parser(head_kind::Request), Limits(Limits) {}

// A tunnel, which CONNECT asks for, is not offered: what follows its head would
// be no HTTP. Source: RFC 9110, section 9.3.6.
std::optional<body_framing> request_parser::takeHead() {
  Head.Method = http_method_str(static_cast<http_method>(Parser.method));
  Head.Target = std::move(Target);
  Head.Headers = std::move(Fields);
  Head.KeepAlive = http_should_keep_alive(&Parser) != 0;
  const bool IsValid = Parser.http_major == 1 && Parser.http_minor <= 1 &&
                       Parser.method != HTTP_CONNECT &&
                       Head.Target.starts_with('/') && hasOneHost(Head.Headers);
  if (!IsValid)
    return std::nullopt;
  const auto Framing =
      declaredFraming(Head.Headers, http_minor_version{Parser.http_minor},
                      body_framing::none());
  if (Framing && Framing->declaredBytes() > Limits.BodyBytes)
    reject(message_fault::BodyTooLarge);
  return Framing;
}

bool request_parser::takeBodyPart(std::string_view Bytes) {
  if (Body.size() + Bytes.size() > Limits.BodyBytes)
    return false;
  Body.append(Bytes);
  return true;
}

std::size_t request_parser::overheadLimitBytes() const {
  return Limits.HeaderBytes;
}

request_parse_error request_parser::parseError() const {
  switch (fault()) {
  case message_fault::None:
    return request_parse_error::None;
  case message_fault::OverheadTooLarge:
    return request_parse_error::HeadTooLarge;
  case message_fault::BodyTooLarge:
    return request_parse_error::BodyTooLarge;
  case message_fault::Malformed:
    break;
  }
  return request_parse_error::Malformed;
}

void request_parser::updateLimits(const caller_limits &NewLimits) {
  Limits = hasStarted() ? largerOf(Limits, NewLimits) : NewLimits;
}

void request_parser::reset() {
  resetMessage();
  Head = {};
  Body.clear();
}

} // namespace azurehaven
