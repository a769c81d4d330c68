#pragma once

#include "LibRelay/relay.h"

#include <functional>

namespace azurehaven {

/// Whether the engine may be inspected now: it is not being inspected, and
/// takes another request of this VM.
bool mayInspect(const endpoint_record &Endpoint, steady_time Now);

/// Inspects the engine, on account of this request, and records the outcome in
/// its endpoint_record. OnFailed: called afterwards if it has not reported.
void inspectEngine(relay_context &Context,
                   const std::shared_ptr<endpoint_record> &Endpoint,
                   const request_id &Request,
                   std::function<void()> OnFailed = nullptr);

} // namespace azurehaven
