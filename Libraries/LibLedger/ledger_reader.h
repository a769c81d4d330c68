#pragma once

#include "LibLedger/bill.h"
#include "LibStore/store.h"

#include <optional>
#include <vector>

namespace azurehaven {

/// Reads the bills of one account, or of all. Of several records of one bill,
/// the one with the lowest store revision counts, so that later reads agree.
result<std::vector<bill>> readLedger(store &Store,
                                     std::optional<client_account_id> Account);

} // namespace azurehaven
