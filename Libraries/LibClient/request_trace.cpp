#include "LibClient/request_trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>

namespace azurehaven {

namespace {

using json = nlohmann::ordered_json;

/// Events without a request id that are shown with a request, since a change of
/// the VM's store connection, settings or lists, or a start or stop of its
/// process, can explain the outcome, and omitted log lines explain a gap.
constexpr std::array<const char *, 12> ContextEvents = {
    "store_lost",        "store_regained",   "configuration_applied",
    "endpoint_unlisted", "member_unlisted",  "rollout_publishing",
    "rollout_published", "settings_applied", "started",
    "stop_begun",        "stopped",          "lines_left_out"};
/// Limit on the context events shown from before the first event of the
/// request.
constexpr std::size_t MaximumEarlierContextEvents = 5;

struct parsed_line {
  trace_event Event;
  std::string Request;
};

std::optional<parsed_line> parseLine(const std::string &Line) {
  // A log collector may add a prefix to the JSON object.
  const std::size_t Begin = Line.find('{');
  if (Begin == std::string::npos)
    return std::nullopt;
  const json Object = json::parse(Line.substr(Begin), nullptr, false);
  if (!Object.is_object() || !Object.contains("event"))
    return std::nullopt;
  parsed_line Parsed;
  for (const auto &[Name, Value] : Object.items()) {
    const std::string Text =
        Value.is_string() ? Value.get<std::string>() : Value.dump();
    if (Name == "at")
      Parsed.Event.At = Text;
    else if (Name == "vm")
      Parsed.Event.Vm = Text;
    else if (Name == "event")
      Parsed.Event.Event = Text;
    else if (Name == "request")
      Parsed.Request = Text;
    else if (Name != "level")
      Parsed.Event.Fields +=
          (Parsed.Event.Fields.empty() ? "" : " ") + Name + "=" + Text;
  }
  return Parsed;
}

bool isContextEvent(const std::string &Event) {
  return std::find(ContextEvents.begin(), ContextEvents.end(), Event) !=
         ContextEvents.end();
}

} // namespace

std::vector<trace_event> readRequestTrace(std::istream &Log,
                                          const request_id &Request) {
  std::vector<parsed_line> Lines;
  std::set<std::string> Vms;
  std::string Line;
  while (std::getline(Log, Line)) {
    auto Parsed = parseLine(Line);
    if (!Parsed)
      continue;
    const bool BelongsToRequest = Parsed->Request == Request.text();
    if (BelongsToRequest)
      Vms.insert(Parsed->Event.Vm);
    if (BelongsToRequest || isContextEvent(Parsed->Event.Event))
      Lines.push_back(std::move(*Parsed));
  }
  const auto BelongsToRequest = [&](const parsed_line &Entry) {
    return Entry.Request == Request.text();
  };
  const auto First = std::find_if(Lines.begin(), Lines.end(), BelongsToRequest);
  if (First == Lines.end())
    return {};
  const auto Last =
      std::find_if(Lines.rbegin(), Lines.rend(), BelongsToRequest).base();
  std::deque<trace_event> Before;
  for (auto It = Lines.begin(); It != First; ++It) {
    if (!Vms.contains(It->Event.Vm))
      continue;
    Before.push_back(It->Event);
    if (Before.size() > MaximumEarlierContextEvents)
      Before.pop_front();
  }
  std::vector<trace_event> Trace(Before.begin(), Before.end());
  for (auto It = First; It != Last; ++It)
    if (BelongsToRequest(*It) || Vms.contains(It->Event.Vm))
      Trace.push_back(It->Event);
  return Trace;
}

std::string formatRequestTrace(const std::vector<trace_event> &Trace) {
  std::string Text;
  for (const auto &Event : Trace)
    Text += Event.At + "  " + Event.Vm + "  " + Event.Event + "  " +
            Event.Fields + "\n";
  return Text;
}

} // namespace azurehaven
