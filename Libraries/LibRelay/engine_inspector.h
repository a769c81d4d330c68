#pragma once

#include "LibDispatch/endpoint_registry.h"
#include "LibTypes/result.h"

#include <functional>

namespace azurehaven {

/// Queries an engine for the requests that it is running. The handler is called
/// once, on the event loop, with Unavailable if the engine does not respond.
class engine_inspector {
public:
  virtual ~engine_inspector() = default;
  virtual void inspect(const endpoint_descriptor &Endpoint,
                       std::function<void(result<engine_report>)> Handler) = 0;
};

} // namespace azurehaven
