#pragma once

#include "LibTypes/result.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace azurehaven {

/// Warnings and errors concern a failed or refused request, or an unavailable
/// dependency; when lines must be dropped, lower levels are dropped first.
enum class log_level { Debug, Info, Warning, Error };

/// Returns InvalidInput unless the name is debug, info, warning or error.
result<log_level> parseLogLevel(const std::string &Name);

using log_field = std::pair<std::string_view, std::string>;

/// Structured log: one line for each event, with a stable event name.
/// Thread-safe. Whether a write waits for the reader of the log depends on the
/// implementation.
class event_log {
public:
  virtual ~event_log() = default;
  virtual void write(log_level Level, std::string_view Event,
                     std::initializer_list<log_field> Fields) const = 0;
};

/// Discards all events, for tests that don't check the log.
class null_event_log : public event_log {
public:
  void write(log_level, std::string_view,
             std::initializer_list<log_field>) const override {}
};

/// Formats an event as the members of a JSON object, without the braces.
std::string formatFields(std::string_view Vm, std::string_view Event,
                         std::initializer_list<log_field> Fields);

} // namespace azurehaven
