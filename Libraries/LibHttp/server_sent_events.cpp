#include "LibHttp/server_sent_events.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// Joins the data lines of one event; nullopt when it has none.
std::optional<std::string> dataOf(std::string_view Block) {
  std::optional<std::string> Data;
  while (!Block.empty()) {
    const std::size_t LineEnd = Block.find('\n');
    std::string_view Line = Block.substr(0, LineEnd);
    Block.remove_prefix(LineEnd == std::string_view::npos ? Block.size()
                                                          : LineEnd + 1);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (!Line.starts_with("data:"))
      continue;
    Line.remove_prefix(5);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (Data)
      Data->push_back('\n');
    else
      Data.emplace();
    Data->append(Line);
  }
  return Data;
}

} // namespace

bool event_stream_parser::add(std::string_view Bytes) {
  if (Offset > 0) {
    Buffer.erase(0, Offset);
    Offset = 0;
  }
  Buffer.append(Bytes);
  return Buffer.size() <= BufferLimitBytes;
}

std::optional<std::string> event_stream_parser::next() {
  while (true) {
    const std::size_t Crlf = Buffer.find("\r\n\r\n", Offset);
    const std::size_t Lf = Buffer.find("\n\n", Offset);
    const std::size_t End = std::min(Crlf, Lf);
    if (End == std::string::npos)
      return std::nullopt;
    std::string_view Block(Buffer.data() + Offset, End - Offset);
    Offset = End + (Crlf < Lf ? 4 : 2);
    // A block without a data line, such as a comment, is not an event.
    if (auto Data = dataOf(Block))
      return Data;
  }
}

std::string formatEvent(std::string_view Data) {
  std::string Event = "data: ";
  Event.append(Data);
  Event.append("\n\n");
  return Event;
}

} // namespace azurehaven
