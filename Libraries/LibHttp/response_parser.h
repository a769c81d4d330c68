#pragma once

#include "LibHttp/message_head.h"
#include "LibHttp/message_parser.h"

#include <string>
#include <string_view>
#include <utility>

namespace azurehaven {

/// Parses the responses of one connection, one at a time. Interim (1xx)
/// responses are skipped.
class response_parser : public message_parser {
public:
  response_parser() : message_parser(head_kind::Response) {}

  /// Ends the input after the peer has closed the connection. A body without a
  /// length is complete then.
  void finish() { finishInput(); }
  /// Prepares the parser for the next response of the connection.
  void reset();
  /// The next response is one to HEAD, which has no body, whatever its head
  /// says.
  void expectResponseToHead() { IsToHead = true; }

  bool isMalformed() const { return fault() != message_fault::None; }
  /// Whether the connection can carry another exchange after this response.
  bool isKeptAlive() const { return KeptAlive; }
  const response_head &head() const { return Head; }
  /// The body bytes received since the last call.
  std::string takeBody() { return std::exchange(Body, {}); }

private:
  std::optional<body_framing> takeHead() override;
  bool takeBodyPart(std::string_view Bytes) override;
  bool isInterimHead() const override;
  std::size_t overheadLimitBytes() const override;
  /// How the body ends that the head declares; nullopt if that is unclear.
  std::optional<body_framing> framing() const;
  /// Whether the response has no body though its head may declare one.
  bool isBodyOmitted() const;

  response_head Head;
  std::string Body;
  bool IsToHead = false;
  bool KeptAlive = false;
};

} // namespace azurehaven
