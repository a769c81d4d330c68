#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Extracts the data of server-sent events from a byte stream.
/// Source: WHATWG HTML, section 9.2 (only the data field is used).
class event_stream_parser {
public:
  explicit event_stream_parser(std::size_t EventLimit = 1 << 20)
      : EventLimit(EventLimit) {}

  /// Adds received bytes; returns false once an event exceeds the limit.
  bool add(std::string_view Bytes);
  /// Returns the data of the next complete event, if one has arrived.
  std::optional<std::string> next();

private:
  const std::size_t EventLimit;
  std::string Buffer;
  std::size_t Offset = 0;
};

/// Formats one event with the given data.
std::string formatEvent(std::string_view Data);

} // namespace azurehaven
