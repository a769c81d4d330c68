#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Extracts the data of server-sent events from a byte stream.
/// Source: WHATWG HTML, section 9.2 (only the data field is used).
class event_stream_parser {
public:
  explicit event_stream_parser(std::size_t BufferLimitBytes = 1 << 20)
      : BufferLimitBytes(BufferLimitBytes) {}

  /// Adds received bytes; returns false if more bytes than the limit are
  /// buffered, which includes complete events not yet returned by next().
  bool add(std::string_view Bytes);
  /// Returns the data of the next complete event, if one has arrived.
  std::optional<std::string> next();

private:
  const std::size_t BufferLimitBytes;
  std::string Buffer;
  /// Bytes at the start of Buffer that next() has consumed.
  std::size_t Offset = 0;
};

/// Formats one event with the given data.
std::string formatEvent(std::string_view Data);

} // namespace azurehaven
