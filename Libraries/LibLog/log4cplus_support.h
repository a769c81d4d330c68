#pragma once

#include "LibLog/event_log.h"

#include <log4cplus/loglevel.h>

namespace azurehaven {

/// Converts a level to the log4cplus level.
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

/// log4cplus pattern of a line: a JSON object with time, level and the
/// message's members.
constexpr const char *JsonLineLayout =
    "{\"at\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n";

/// Initializes log4cplus once in a process: it can't be initialized again after
/// it has been shut down.
void initializeLog4cplus();

} // namespace azurehaven
