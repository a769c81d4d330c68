#pragma once

#include "LibLedger/bill.h"
#include "LibStore/store.h"

#include <optional>
#include <vector>

namespace azurehaven {

/// The ledger as a set: the first record written of each bill counts, in the
/// order of the store's revisions, so that a reading never changes later.
result<std::vector<bill>> readLedger(store &Store,
                                     std::optional<client_account_id> Account);

} // namespace azurehaven
