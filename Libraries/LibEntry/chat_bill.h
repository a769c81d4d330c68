#pragma once

#include "LibEntry/chat_request.h"
#include "LibEntry/engine_attempt.h"
#include "LibLedger/bill.h"

namespace azurehaven {

/// The price of a response; 0 for a version that the configuration doesn't
/// declare.
micro_euros priceOf(const configuration &Configuration,
                    const version_id &Version, const engine_finish &Finish);

/// The bill of a response. Cost: of all responses that the request took,
/// including those that were escalated.
bill makeChatBill(const chat_request &Request, const version_id &Version,
                  const engine_finish &Finish, micro_euros Cost, unix_millis At,
                  const vm_id &Vm);

} // namespace azurehaven
