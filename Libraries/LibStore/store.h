#pragma once

#include "LibTypes/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehaven {

/// What a store call is for; calls are counted by purpose against the budget.
enum class store_purpose { Configuration, Bill, Claim, Audit };
constexpr std::size_t StorePurposeCount = 4;

const char *nameOf(store_purpose Purpose);

struct store_entry {
  std::string Key;
  std::string Value;
  /// Grows with each write anywhere in the store; orders all writes.
  std::uint64_t Revision = 0;
};

/// The revision to pass for "create only if absent".
constexpr std::uint64_t AbsentRevision = 0;

/// The platform's key-value service: compare-and-swap, ordered revisions.
/// Calls block. Errors: NotFound, Conflict (the comparison failed),
/// Unavailable (nothing took effect), OutcomeUnknown (it may have).
class store {
public:
  virtual ~store() = default;

  virtual result<store_entry> read(store_purpose Purpose,
                                   const std::string &Key) = 0;
  /// Writes if the key's revision equals Expected; returns the new revision.
  virtual result<std::uint64_t> compareAndSwap(store_purpose Purpose,
                                               const std::string &Key,
                                               const std::string &Value,
                                               std::uint64_t Expected) = 0;
  /// Entries under a prefix with a revision above After, oldest first.
  virtual result<std::vector<store_entry>> list(store_purpose Purpose,
                                                const std::string &Prefix,
                                                std::uint64_t After) = 0;
};

} // namespace azurehaven
