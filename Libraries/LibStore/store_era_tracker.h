#pragma once

#include "LibTypes/store_revision.h"

#include <optional>

namespace azurehaven {

enum class era_verdict {
  /// The response belongs to the current era.
  Current,
  /// The response begins a new era: the store was restored from an older copy.
  Restored,
  /// The response belongs to an earlier era and must be ignored.
  Outdated,
};

/// Detects from the store's responses that it was restored from an older copy.
/// Not thread-safe.
class store_era_tracker {
public:
  store_era current() const { return Era; }
  /// The store's own number of the current era; nullopt until it names one.
  std::optional<std::uint64_t> reported() const { return ReportedEra; }
  /// Classifies a response. Reported is the era that it names, nullopt if it
  /// names none; SentIn is the era in which its request was sent.
  era_verdict onResponse(std::optional<std::uint64_t> Reported,
                         store_era SentIn);

private:
  store_era Era;
  std::optional<std::uint64_t> ReportedEra;
};

} // namespace azurehaven
