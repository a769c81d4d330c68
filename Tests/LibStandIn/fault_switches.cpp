#include "LibStandIn/fault_switches.h"

namespace azurehaven {

using nlohmann::json;

bool fault_switches::set(const std::string &Text) {
  const json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return false;
  std::lock_guard Lock(Mutex);
  for (const auto &[Name, Value] : Document.items())
    Values[Name] = Value;
  return true;
}

std::int64_t fault_switches::number(const std::string &Name,
                                    std::int64_t Default) const {
  std::lock_guard Lock(Mutex);
  auto Found = Values.find(Name);
  return Found != Values.end() && Found->second.is_number()
             ? Found->second.get<std::int64_t>()
             : Default;
}

std::string fault_switches::text(const std::string &Name) const {
  std::lock_guard Lock(Mutex);
  auto Found = Values.find(Name);
  return Found != Values.end() && Found->second.is_string()
             ? Found->second.get<std::string>()
             : std::string();
}

bool fault_switches::take(const std::string &Name) {
  std::lock_guard Lock(Mutex);
  auto Found = Values.find(Name);
  if (Found == Values.end() || !Found->second.is_number_integer() ||
      Found->second.get<std::int64_t>() <= 0)
    return false;
  Found->second = Found->second.get<std::int64_t>() - 1;
  return true;
}

} // namespace azurehaven
