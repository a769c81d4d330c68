#pragma once

#include "LibDispatch/endpoint_registry.h"
#include "LibTypes/result.h"

#include <functional>

namespace azurehaven {

/// An inspection fails after this time.
constexpr milliseconds InspectionTimeout{600};

/// Queries an engine for the requests that it is running. The handler is called
/// once, on the event loop, with NotFound if nothing listens at its address,
/// OutcomeUnknown if it was asked and does not respond in time, and Unavailable
/// if it can't be asked or sends anything else.
class engine_inspector {
public:
  virtual ~engine_inspector() = default;
  virtual void inspect(const endpoint_descriptor &Endpoint,
                       std::function<void(result<engine_report>)> Handler) = 0;
};

} // namespace azurehaven
