#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/memory_budget.h"

#include <map>
#include <memory>

namespace azurehaven {

/// How much the connections of a VM may buffer, by the VM's own memory, and how
/// it is divided: no endpoint takes all that responses may take, nor responses
/// all that there is.
class relay_memory {
public:
  static constexpr std::size_t DefaultVmBytes = std::size_t{256} << 20;

  explicit relay_memory(std::size_t VmBytes = DefaultVmBytes);

  /// Requests of callers, until their response is complete, and what is queued
  /// for callers.
  memory_budget &ofCallers() { return All; }
  /// Responses of all endpoints, until they are passed on.
  const memory_budget &ofResponses() const { return Responses; }
  /// Responses of one endpoint.
  std::shared_ptr<memory_budget> ofEndpoint(const endpoint_id &Endpoint);
  std::size_t used() const { return All.used(); }

private:
  memory_budget All;
  memory_budget Responses;
  std::map<endpoint_id, std::weak_ptr<memory_budget>> Endpoints;
};

} // namespace azurehaven
