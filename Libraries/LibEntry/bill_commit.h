#pragma once

#include "LibEntry/entry_services.h"

namespace azurehaven {

/// Queues a bill and waits until it is durable; false if it is not in time.
/// The final part of an answer is released only after this.
bool commitBill(const entry_services &Services, const bill &Bill);

} // namespace azurehaven
