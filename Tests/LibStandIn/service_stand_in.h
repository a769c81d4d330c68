#pragma once

#include "LibServer/http_server.h"
#include "LibStandIn/fault_switches.h"

#include <map>
#include <mutex>

namespace azurehaven {

/// A booking service that counts how often each request was executed. Switches:
/// "delay_ms", "cut" (the next N requests are executed without a response),
/// "leaving".
class service_stand_in {
public:
  explicit service_stand_in(std::string Name) : Name(std::move(Name)) {}

  served_response serve(const served_request &Request);
  served_response control(const served_request &Request);

private:
  const std::string Name;
  fault_switches Switches;
  std::mutex Mutex;
  std::map<std::string, std::uint64_t> Runs;
};

} // namespace azurehaven
