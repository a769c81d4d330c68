#include "LibLog/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

namespace azurehaven {

struct event_log::library_state {
  log4cplus::Initializer Initializer;
  log4cplus::Logger Logger;
};

namespace {

log4cplus::LogLevel libraryLevel(log_level Level) {
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

std::string quote(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
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

event_log::event_log(std::string Vm, log_level Level)
    : Vm(std::move(Vm)), State(std::make_unique<library_state>()) {
  State->Logger = log4cplus::Logger::getInstance("azurehaven");
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "{\"at\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",\"level\":\"%p\",%m}%n"));
  State->Logger.addAppender(Appender);
  State->Logger.setLogLevel(libraryLevel(Level));
}

event_log::~event_log() = default;

void event_log::write(log_level Level, std::string_view Event,
                      std::initializer_list<log_field> Fields) const {
  if (!State->Logger.isEnabledFor(libraryLevel(Level)))
    return;
  std::string Line = "\"vm\":" + quote(Vm) + ",\"event\":" + quote(Event);
  for (const auto &[Name, Value] : Fields)
    Line += "," + quote(Name) + ":" + quote(Value);
  State->Logger.log(libraryLevel(Level), Line);
}

} // namespace azurehaven
