#pragma once

#include "LibLog/event_log.h"

#include <memory>

namespace azurehaven {

/// Writes one JSON line for each event to standard error. Blocks while standard
/// error accepts no data.
class console_event_log : public event_log {
public:
  console_event_log(std::string Vm, log_level Level);
  ~console_event_log() override;

  void write(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields) const override;

private:
  struct log4cplus_state;
  const std::string Vm;
  std::unique_ptr<log4cplus_state> State;
};

} // namespace azurehaven
