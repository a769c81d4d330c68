#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <string>

namespace azurehaven {

/// Named faults of a stand-in, set by POST /control with a JSON object.
/// Thread-safe.
class fault_switches {
public:
  /// Merges the fields of a JSON object; false if it is none.
  bool set(const std::string &Text);
  std::int64_t number(const std::string &Name, std::int64_t Default = 0) const;
  std::string text(const std::string &Name) const;
  /// Takes one from a counting switch; false when it is at zero.
  bool take(const std::string &Name);

private:
  mutable std::mutex Mutex;
  std::map<std::string, nlohmann::json> Values;
};

} // namespace azurehaven
