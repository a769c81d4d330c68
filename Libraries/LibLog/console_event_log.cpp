#include "LibLog/console_event_log.h"

#include "LibLog/log4cplus_support.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace azurehaven {

struct console_event_log::log4cplus_state {
  log4cplus::Logger Logger;
};

console_event_log::console_event_log(std::string Vm, log_level Level)
    : Vm(std::move(Vm)), State(std::make_unique<log4cplus_state>()) {
  initializeLog4cplus();
  State->Logger = log4cplus::Logger::getInstance("azurehaven");
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(JsonLineLayout));
  State->Logger.addAppender(Appender);
  State->Logger.setLogLevel(toLog4cplusLevel(Level));
}

console_event_log::~console_event_log() { State->Logger.removeAllAppenders(); }

void console_event_log::write(log_level Level, std::string_view Event,
                              std::initializer_list<log_field> Fields) const {
  if (State->Logger.isEnabledFor(toLog4cplusLevel(Level)))
    State->Logger.log(toLog4cplusLevel(Level), formatFields(Vm, Event, Fields));
}

} // namespace azurehaven
