#pragma once

#include "LibLog/event_log.h"

#include <memory>

namespace azurehaven {

/// Writes one JSON line for each event to a file descriptor, from a separate
/// thread. If the reader is slow or closed, or there are too many events, lines
/// are dropped; a further line reports how many of each event. Callers are
/// never blocked by the reader.
class async_event_log : public event_log {
public:
  async_event_log(std::string Vm, log_level Level, int Descriptor);
  /// Writes the queued lines, for up to 100 ms.
  ~async_event_log() override;

  void write(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields) const override;
  /// Waits until the queued lines have been written, for up to 100 ms.
  void flush() const;

private:
  struct log4cplus_state;
  const std::string Vm;
  std::unique_ptr<log4cplus_state> State;
};

} // namespace azurehaven
