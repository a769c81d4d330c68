#include "LibDispatch/event_splicer.h"

#include <algorithm>
#include <charconv>

namespace azurehaven {

namespace {

/// An empty buffer of this size is kept for the next event.
constexpr std::size_t KeptBufferBytes = 8192;

/// Offset just after the empty line that ends the first event of the text;
/// npos if the event is incomplete. Lines end with LF or CR LF.
std::size_t endOfEvent(std::string_view Text) {
  std::size_t LineStart = 0;
  while (true) {
    const std::size_t LineEnd = Text.find('\n', LineStart);
    if (LineEnd == std::string_view::npos)
      return std::string_view::npos;
    std::string_view Line = Text.substr(LineStart, LineEnd - LineStart);
    if (Line.empty() || Line == "\r")
      return LineEnd + 1;
    LineStart = LineEnd + 1;
  }
}

std::optional<std::uint64_t> idOfEvent(std::string_view Event) {
  std::size_t LineStart = 0;
  while (LineStart < Event.size()) {
    const std::size_t LineEnd =
        std::min(Event.find('\n', LineStart), Event.size());
    std::string_view Line = Event.substr(LineStart, LineEnd - LineStart);
    LineStart = LineEnd + 1;
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    auto [Stop, Code] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Code == std::errc())
      return Id;
  }
  return std::nullopt;
}

} // namespace

std::string event_splicer::add(std::string_view Bytes) {
  std::string Out;
  Partial.append(Bytes);
  std::size_t Offset = 0;
  while (!Oversized) {
    const std::string_view Rest = std::string_view(Partial).substr(Offset);
    const std::size_t End = endOfEvent(Rest);
    if (End == std::string_view::npos)
      break;
    addEvent(Rest.substr(0, End), Out);
    Offset += End;
  }
  Partial.erase(0, Offset);
  if (Partial.empty() && Partial.capacity() > KeptBufferBytes)
    Partial = std::string();
  if (Partial.size() > EventLimit)
    Oversized = true;
  return Out;
}

void event_splicer::addEvent(std::string_view Event, std::string &Out) {
  if (const auto Id = idOfEvent(Event)) {
    if (LastId && *Id <= *LastId)
      return; // Already forwarded from an earlier source.
    LastId = *Id;
    ++Events;
  }
  Out.append(Event);
}

void event_splicer::startNextSource() {
  Partial = std::string();
  Oversized = false;
}

} // namespace azurehaven
