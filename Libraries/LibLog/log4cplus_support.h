#pragma once

#include "LibLog/event_log.h"

#include <log4cplus/loglevel.h>

namespace azurehaven {

/// The logging library's number for a level.
constexpr log4cplus::LogLevel toLog4cplusLevel(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case log_level::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case log_level::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case log_level::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

/// The layout of a line: the members of a JSON object, with time and level.
constexpr const char *JsonLineLayout =
    "{\"at\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n";

/// Sets the logging library up, once in a process: it can't be set up again
/// after its end.
void initializeLog4cplus();

} // namespace azurehaven
