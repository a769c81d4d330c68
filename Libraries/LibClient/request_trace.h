#pragma once

#include "LibTypes/ids.h"

#include <istream>
#include <string>
#include <vector>

namespace azurehaven {

/// One event of a process log.
struct trace_event {
  std::string At;
  std::string Vm;
  std::string Event;
  /// The remaining fields except the level as name=value, in their order in the
  /// line.
  std::string Fields;
};

/// Returns the events of a request in the order of the log, together with
/// context events of the VMs that logged them: events of the store, membership,
/// rollouts and settings, and of the start and stop of the process. The context
/// events range from a few before the first event of the request to its last
/// event. Lines that aren't events are skipped.
std::vector<trace_event> readRequestTrace(std::istream &Log,
                                          const request_id &Request);

std::string formatRequestTrace(const std::vector<trace_event> &Trace);

} // namespace azurehaven
