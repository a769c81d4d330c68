#pragma once

#include "LibTypes/result.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace azurehaven {

enum class log_level { Debug, Info, Warning, Error };

result<log_level> parseLogLevel(const std::string &Name);

using log_field = std::pair<std::string_view, std::string>;

/// One JSON line for each event on standard error, with a stable event name.
/// Thread-safe.
class event_log {
public:
  event_log(std::string Vm, log_level Level);
  ~event_log();

  void write(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields) const;

private:
  struct library_state;
  const std::string Vm;
  std::unique_ptr<library_state> State;
};

} // namespace azurehaven
