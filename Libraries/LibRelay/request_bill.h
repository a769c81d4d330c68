#pragma once

#include "LibLedger/bill.h"
#include "LibRelay/admitted_request.h"

#include <optional>

namespace azurehaven {

/// Cost of one attempt on the model to the operators; 0 if the caller chose the
/// model or the service has no models.
micro_euros attemptCost(const admitted_request &Admitted,
                        std::optional<std::size_t> ModelIndex);

/// Makes the bill of an answered request. The price covers only the attempt
/// that produced the response; Cost is the total of all attempts.
bill makeBill(const admitted_request &Admitted,
              std::optional<std::size_t> ModelIndex, const std::string &Release,
              micro_euros Cost, unix_millis At, const vm_id &Vm);

} // namespace azurehaven
