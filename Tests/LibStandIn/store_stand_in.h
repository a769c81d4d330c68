#pragma once

#include "LibServer/http_server.h"
#include "LibStandIn/fault_switches.h"
#include "LibStore/memory_store.h"

#include <atomic>

namespace azurehaven {

/// The platform's key-value store. Switches: "down" (1: responds with 503),
/// "delay_ms", "lose_answers" (the next N writes take effect without a
/// response), "lose_answers_of" (only keys with this prefix).
class store_stand_in {
public:
  served_response serve(const served_request &Request);

private:
  served_response serveKv(const served_request &Request);
  served_response compareAndSwap(const served_request &Request);

  memory_store Store;
  fault_switches Switches;
  std::atomic<std::uint64_t> Reads = 0;
  std::atomic<std::uint64_t> Writes = 0;
};

} // namespace azurehaven
