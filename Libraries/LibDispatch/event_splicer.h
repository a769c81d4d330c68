#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Joins the event streams of several endpoints into one stream for the caller:
/// only complete events, each once, in the order of their ids.
/// Source: WHATWG HTML, section 9.2, for the framing of events.
class event_splicer {
public:
  explicit event_splicer(std::optional<std::uint64_t> LastEventId,
                         std::size_t EventLimit = 1 << 20)
      : LastId(LastEventId), EventLimit(EventLimit) {}

  /// Adds received bytes; returns the bytes to forward, which end at an event
  /// boundary.
  std::string add(std::string_view Bytes);
  /// Starts the stream of another endpoint, which resumes after lastEventId().
  /// Discards a partial event of the previous one.
  void startNextSource();

  std::optional<std::uint64_t> lastEventId() const { return LastId; }
  /// Whether an incomplete event is buffered.
  bool hasPartialEvent() const { return !Partial.empty(); }
  /// Bytes that the buffer for an incomplete event takes.
  std::size_t bufferedBytes() const { return Partial.capacity(); }
  /// Whether an event of the current source exceeded the size limit.
  bool hasOversizedEvent() const { return Oversized; }
  /// Number of forwarded events that have an id.
  std::uint64_t eventCount() const { return Events; }

private:
  void addEvent(std::string_view Event, std::string &Out);

  std::optional<std::uint64_t> LastId;
  std::size_t EventLimit;
  std::string Partial;
  std::uint64_t Events = 0;
  bool Oversized = false;
};

} // namespace azurehaven
