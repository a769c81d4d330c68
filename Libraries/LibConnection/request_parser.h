#pragma once

#include "LibHttp/message_head.h"
#include "LibHttp/message_parser.h"

#include <chrono>
#include <string>
#include <string_view>

namespace azurehaven {

/// Size limits and timeouts for the requests of a caller.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4 << 20;
  /// Longest time from the first byte of a request head to its end.
  std::chrono::milliseconds HeaderTimeout{3000};
  /// Longest time between two requests of a connection, and between received
  /// bytes of a body.
  std::chrono::milliseconds IdleTimeout{15000};
};

/// Each limit is the larger one of the two.
caller_limits largerOf(const caller_limits &One, const caller_limits &Other);

/// Why a request is rejected before it is served.
enum class request_parse_error {
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
  /// Its end did not come in time. Not found by the parser.
  Incomplete,
  /// The connections have used up their memory. Not found by the parser.
  OutOfMemory,
};

/// Parses the requests of one connection, one at a time.
class request_parser : public message_parser {
public:
  explicit request_parser(caller_limits Limits);

  /// Prepares the parser for the next request of the connection.
  void reset();

  request_parse_error parseError() const;
  const request_head &head() const { return Head; }
  std::string &body() { return Body; }
  /// Takes the limits for the next request; those of a request that has begun
  /// only grow.
  void updateLimits(const caller_limits &NewLimits);

private:
  std::optional<body_framing> takeHead() override;
  bool takeBodyPart(std::string_view Bytes) override;
  std::size_t overheadLimitBytes() const override;

  caller_limits Limits;
  request_head Head;
  std::string Body;
};

} // namespace azurehaven
