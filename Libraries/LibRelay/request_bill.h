#pragma once

#include "LibLedger/bill.h"
#include "LibRelay/admitted_request.h"

#include <optional>

namespace azurehaven {

/// What one run on the model costs the operators; 0 where the caller chose the
/// model or the service has no models.
micro_euros attemptCost(const admitted_request &Subject,
                        std::optional<std::size_t> ModelIndex);

/// The bill of an answered request. Callers pay for the run that answered
/// them; Cost is what all runs cost together.
bill makeBill(const admitted_request &Subject,
              std::optional<std::size_t> ModelIndex, const std::string &Release,
              micro_euros Cost, unix_millis At, const vm_id &Vm);

} // namespace azurehaven
