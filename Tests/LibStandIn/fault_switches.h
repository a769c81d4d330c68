#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <string>

namespace azurehaven {

/// Named fault settings of a stand-in, set by POST /control with a JSON object.
/// Thread-safe.
class fault_switches {
public:
  /// Merges the fields of a JSON object. Returns false if the text isn't one.
  bool set(const std::string &Text);
  std::int64_t number(const std::string &Name, std::int64_t Default = 0) const;
  std::string text(const std::string &Name) const;
  /// Decrements a counter switch. Returns false if it is zero or unset.
  bool take(const std::string &Name);

private:
  mutable std::mutex Mutex;
  std::map<std::string, nlohmann::json> Values;
};

} // namespace azurehaven
