#pragma once

#include "LibEntry/entry_services.h"

namespace azurehaven {

/// Queues a bill and waits until it is durable. Returns false on failure or
/// timeout. The final chunk of a response is sent only after this.
bool commitBill(const entry_services &Services, const bill &Bill);

} // namespace azurehaven
