#include "LibHttp/response_parser.h"

namespace azurehaven {

namespace {

/// An endpoint's head takes a few hundred bytes.
constexpr std::size_t OverheadLimitBytes = 65536;

constexpr int SwitchingProtocolsStatus = 101;
constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

constexpr bool isInterim(int Status) { return Status >= 100 && Status < 200; }

} // namespace

std::optional<body_framing> response_parser::takeHead() {
  Head.Status = static_cast<int>(Parser.status_code);
  Head.Headers = std::move(Fields);
  if (isBodyOmitted())
    Parser.flags |= F_SKIPBODY;
  KeptAlive = http_should_keep_alive(&Parser) != 0;
  const auto Framing = framing();
  return Framing && isBodyOmitted() ? body_framing::none() : Framing;
}

std::optional<body_framing> response_parser::framing() const {
  // No upgrade has been asked for, so that none can follow.
  if (Head.Status == SwitchingProtocolsStatus)
    return std::nullopt;
  const bool IsBodiless =
      isInterim(Head.Status) || Head.Status == NoContentStatus;
  const auto Declared = declaredFraming(
      Head.Headers, http_minor_version{Parser.http_minor},
      IsBodiless ? body_framing::none() : body_framing::untilClose());
  if (IsBodiless && Declared && !Declared->isComplete())
    return std::nullopt;
  return Declared;
}

// A length tells what the body would be.
bool response_parser::isBodyOmitted() const {
  return Head.Status == NotModifiedStatus ||
         (IsToHead && !isInterim(Head.Status));
}

bool response_parser::isInterimHead() const { return isInterim(Head.Status); }

bool response_parser::takeBodyPart(std::string_view Bytes) {
  Body.append(Bytes);
  return true;
}

std::size_t response_parser::overheadLimitBytes() const {
  return OverheadLimitBytes;
}

void response_parser::reset() {
  resetMessage();
  Head = {};
  Body.clear();
  IsToHead = false;
  KeptAlive = false;
}

} // namespace azurehaven
