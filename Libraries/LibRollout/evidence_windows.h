#pragma once

#include "LibRollout/release_evidence.h"

#include <optional>
#include <vector>

namespace azurehaven {

/// The times from which on a release is judged: the start of its roll-out, and
/// each of the last seconds, from which it may have turned bad. Not
/// thread-safe.
class evidence_windows {
public:
  /// Must be called several times per second.
  void observe(const evidence_totals &Totals, steady_time Now);
  /// The totals at the starts of the windows, the earliest first.
  std::vector<evidence_totals> starts(steady_time Now) const;

private:
  struct window_start {
    steady_time At;
    evidence_totals Totals;
  };

  std::optional<evidence_totals> First;
  std::vector<window_start> Latest;
};

} // namespace azurehaven
