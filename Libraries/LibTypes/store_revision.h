#pragma once

#include <compare>
#include <cstdint>

namespace azurehaven {

/// A span of the store's history without a restoration from an older copy, as
/// numbered by this process. Eras are numbered in the order in which this
/// process notices them, so they can't be compared between processes.
struct store_era {
  std::uint64_t Number = 0;

  auto operator<=>(const store_era &) const =
      default; // NOLINT(readability-identifier-naming)
};

/// A position in the store's history. Ordered by era first: a restored store
/// gives out revision numbers again, so numbers of different eras are
/// unrelated.
struct store_revision {
  store_era Era;
  /// The store's own number; 0 before the first write.
  std::uint64_t Number = 0;

  auto operator<=>(const store_revision &) const =
      default; // NOLINT(readability-identifier-naming)
  bool isAbsent() const { return Number == 0; }
};

/// A lease that the store granted in one era. A restored store may grant the
/// same id to another owner.
struct store_lease {
  store_era Era;
  /// The store's own id; 0 stands for no lease.
  std::uint64_t Id = 0;

  bool operator==(const store_lease &) const = default;
  bool isNone() const { return Id == 0; }
};

constexpr store_lease NoLease{};

} // namespace azurehaven
