#pragma once

#include "LibTypes/ids.h"

#include <istream>
#include <string>
#include <vector>

namespace azurehaven {

/// One event of a process's log.
struct trace_event {
  std::string At;
  std::string Vm;
  std::string Event;
  /// The other fields, as name=value, in the order of the line.
  std::string Fields;
};

/// What a log says of one request: its own events in order, and what the VMs
/// that served it lost, regained or changed from a while before its first
/// event to its last. Lines that are no events are passed over.
std::vector<trace_event> readRequestTrace(std::istream &Log,
                                          const request_id &Request);

std::string formatRequestTrace(const std::vector<trace_event> &Trace);

} // namespace azurehaven
