#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace azurehaven {

/// A signed quantity of the unit that Tag names. Quantities of different units
/// can't be mixed in arithmetic.
template <typename Tag> class strong_quantity {
public:
  constexpr strong_quantity() = default;
  constexpr explicit strong_quantity(std::int64_t Count) : Count(Count) {}

  constexpr std::int64_t count() const { return Count; }

  constexpr strong_quantity operator+(strong_quantity Other) const {
    return strong_quantity(Count + Other.Count);
  }
  constexpr strong_quantity operator-(strong_quantity Other) const {
    return strong_quantity(Count - Other.Count);
  }
  constexpr strong_quantity &operator+=(strong_quantity Other) {
    Count += Other.Count;
    return *this;
  }
  auto operator<=>(const strong_quantity &) const =
      default; // NOLINT(readability-identifier-naming)

private:
  std::int64_t Count = 0;
};

using micro_euros = strong_quantity<struct micro_euros_tag>;
using token_count = strong_quantity<struct token_count_tag>;

using milliseconds = std::chrono::milliseconds;
/// Monotonic time, for all decisions that depend on elapsed time.
using steady_time = std::chrono::steady_clock::time_point;
/// Wall-clock time in milliseconds since the Unix epoch; only for records.
using unix_millis = strong_quantity<struct unix_millis_tag>;

} // namespace azurehaven
