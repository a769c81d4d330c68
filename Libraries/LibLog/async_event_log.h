#pragma once

#include "LibLog/event_log.h"

#include <memory>

namespace azurehaven {

/// One JSON line for each event on a file descriptor, written by a thread of
/// its own. A slow or closed reader, or too many events, cost lines, which are
/// counted by kind in a line of their own; they never hold up a caller.
class async_event_log : public event_log {
public:
  async_event_log(std::string Vm, log_level Level, int Descriptor);
  /// Writes what is waiting, for a moment at most.
  ~async_event_log() override;

  void write(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields) const override;
  /// Waits until what is waiting has been written, for a moment at most.
  void flush() const;

private:
  struct log4cplus_state;
  const std::string Vm;
  std::unique_ptr<log4cplus_state> State;
};

} // namespace azurehaven
