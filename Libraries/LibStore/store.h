#pragma once

#include "LibTypes/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehaven {

/// Purpose of a store call. Calls are counted by purpose, to compare them with
/// the budget of calls.
enum class store_purpose { Configuration, Bill, Claim, Audit };
constexpr std::size_t StorePurposeCount = 4;

const char *nameOf(store_purpose Purpose);

struct store_entry {
  std::string Key;
  std::string Value;
  /// Increases with each write in the store, so it orders all writes.
  std::uint64_t Revision = 0;
};

/// Expected revision for a write that must create the key.
constexpr std::uint64_t AbsentRevision = 0;

/// The platform's key-value service, with compare-and-swap and ordered
/// revisions. Calls block. Errors: NotFound, Conflict (the key has another
/// revision), Unavailable (the call took no effect), OutcomeUnknown (it may
/// have taken effect).
class store {
public:
  virtual ~store() = default;

  virtual result<store_entry> read(store_purpose Purpose,
                                   const std::string &Key) = 0;
  /// Writes if the key has the expected revision; returns the new revision.
  virtual result<std::uint64_t>
  compareAndSwap(store_purpose Purpose, const std::string &Key,
                 const std::string &Value, std::uint64_t ExpectedRevision) = 0;
  /// Returns the entries under a prefix with a revision above AfterRevision, in
  /// ascending order of revision.
  virtual result<std::vector<store_entry>>
  list(store_purpose Purpose, const std::string &Prefix,
       std::uint64_t AfterRevision) = 0;
};

} // namespace azurehaven
