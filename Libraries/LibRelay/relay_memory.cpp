#include "LibRelay/relay_memory.h"

namespace azurehaven {

namespace {

/// The part of the VM's memory that connections may buffer. The rest is for the
/// process itself, and for what the system holds of its connections.
constexpr std::size_t BufferedDivisor = 2;
/// The parts of it for all responses, and of that for those of one endpoint.
constexpr std::size_t ResponsesDivisor = 2;
constexpr std::size_t EndpointDivisor = 4;

} // namespace

relay_memory::relay_memory(std::size_t VmBytes)
    : All(VmBytes / BufferedDivisor),
      Responses(All.limit() / ResponsesDivisor, &All) {}

std::shared_ptr<memory_budget>
relay_memory::ofEndpoint(const endpoint_id &Endpoint) {
  if (auto Known = Endpoints[Endpoint].lock())
    return Known;
  std::erase_if(Endpoints,
                [](const auto &Entry) { return Entry.second.expired(); });
  auto Budget = std::make_shared<memory_budget>(
      Responses.limit() / EndpointDivisor, &Responses);
  Endpoints[Endpoint] = Budget;
  return Budget;
}

} // namespace azurehaven
