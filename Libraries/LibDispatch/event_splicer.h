#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurehaven {

/// Joins the event streams of several endpoints into one for the caller: whole
/// events only, each once, in the order of their ids.
/// Source: WHATWG HTML, section 9.2, for the framing of events.
class event_splicer {
public:
  explicit event_splicer(std::optional<std::uint64_t> LastEventId,
                         std::size_t EventLimit = 1 << 20)
      : LastId(LastEventId), EventLimit(EventLimit) {}

  /// Adds received bytes; returns the bytes to pass on, which end at the end
  /// of an event.
  std::string add(std::string_view Bytes);
  /// The next bytes come from another endpoint, which goes on after
  /// lastEventId().
  void startNextSource();

  std::optional<std::uint64_t> lastEventId() const { return LastId; }
  /// Whether part of an event has arrived and its end has not.
  bool hasPartialEvent() const { return !Partial.empty(); }
  /// Whether an event exceeded the limit.
  bool hasOversizedEvent() const { return Oversized; }
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
