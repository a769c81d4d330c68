#include "LibLog/event_log.h"

#include "LibTypes/utf8.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

std::string quote(std::string_view Text) {
  return nlohmann::json(escapeInvalidUtf8(Text)).dump();
}

} // namespace

result<log_level> parseLogLevel(const std::string &Name) {
  if (Name == "debug")
    return log_level::Debug;
  if (Name == "info")
    return log_level::Info;
  if (Name == "warning")
    return log_level::Warning;
  if (Name == "error")
    return log_level::Error;
  return error{error_code::InvalidInput,
               "\"" + Name + "\"; accepted: debug, info, warning, error"};
}

std::string formatFields(std::string_view Vm, std::string_view Event,
                         std::initializer_list<log_field> Fields) {
  std::string Line = "\"vm\":" + quote(Vm) + ",\"event\":" + quote(Event);
  for (const auto &[Name, Value] : Fields)
    Line += "," + quote(Name) + ":" + quote(Value);
  return Line;
}

} // namespace azurehaven
