#pragma once

#include "LibTypes/ids.h"

#include <istream>
#include <string>
#include <vector>

namespace azurehaven {

/// One event of a process's log.
struct log_event {
  std::string At;
  std::string Vm;
  std::string Event;
  /// The other fields, as name=value, in the order of the line.
  std::string Fields;
};

/// What a log says of one request: its own events in order, and what the VMs
/// that served it lost, regained or changed from a while before its first
/// event to its last. Lines that are no events are passed over.
std::vector<log_event> storyOf(std::istream &Log, const request_id &Request);

std::string formatStory(const std::vector<log_event> &Story);

} // namespace azurehaven
