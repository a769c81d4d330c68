#include "LibClient/log_story.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>

namespace azurehaven {

namespace {

using json = nlohmann::ordered_json;

/// Events of a VM that explain what happened to its requests.
constexpr std::array<const char *, 12> Surroundings = {
    "store_lost",        "store_regained",   "configuration_applied",
    "endpoint_unlisted", "member_unlisted",  "rollout_publishing",
    "rollout_published", "settings_applied", "started",
    "stop_begun",        "stopped",          "lines_left_out"};
/// Such events before the first one of the request that are shown.
constexpr std::size_t SurroundingsBefore = 5;

struct parsed_line {
  log_event Event;
  std::string Request;
};

std::optional<parsed_line> parseLine(const std::string &Line) {
  // A collector may have put its own words before the object.
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

bool isSurrounding(const std::string &Event) {
  return std::find(Surroundings.begin(), Surroundings.end(), Event) !=
         Surroundings.end();
}

} // namespace

std::vector<log_event> storyOf(std::istream &Log, const request_id &Request) {
  std::vector<parsed_line> Lines;
  std::set<std::string> Vms;
  std::string Line;
  while (std::getline(Log, Line)) {
    auto Parsed = parseLine(Line);
    if (!Parsed)
      continue;
    const bool IsOwn = Parsed->Request == Request.text();
    if (IsOwn)
      Vms.insert(Parsed->Event.Vm);
    if (IsOwn || isSurrounding(Parsed->Event.Event))
      Lines.push_back(std::move(*Parsed));
  }
  const auto IsOwn = [&](const parsed_line &Entry) {
    return Entry.Request == Request.text();
  };
  const auto First = std::find_if(Lines.begin(), Lines.end(), IsOwn);
  if (First == Lines.end())
    return {};
  const auto Last = std::find_if(Lines.rbegin(), Lines.rend(), IsOwn).base();
  std::deque<log_event> Before;
  for (auto It = Lines.begin(); It != First; ++It) {
    if (!Vms.contains(It->Event.Vm))
      continue;
    Before.push_back(It->Event);
    if (Before.size() > SurroundingsBefore)
      Before.pop_front();
  }
  std::vector<log_event> Story(Before.begin(), Before.end());
  for (auto It = First; It != Last; ++It)
    if (IsOwn(*It) || Vms.contains(It->Event.Vm))
      Story.push_back(It->Event);
  return Story;
}

std::string formatStory(const std::vector<log_event> &Story) {
  std::string Text;
  for (const auto &Event : Story)
    Text += Event.At + "  " + Event.Vm + "  " + Event.Event + "  " +
            Event.Fields + "\n";
  return Text;
}

} // namespace azurehaven
