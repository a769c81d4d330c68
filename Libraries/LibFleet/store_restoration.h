#pragma once

#include "LibTypes/store_revision.h"
#include "LibTypes/units.h"

#include <optional>

namespace azurehaven {

/// Judges what the store's items prove after it was restored from an older
/// copy, until operators, endpoints and VMs have written again what the copy
/// lacks. Not thread-safe.
class store_restoration {
public:
  /// Records that this process, which has just started, has read the store for
  /// the first time: nothing tells whether it was restored a moment before.
  void onFirstRead(steady_time Now) { FirstReadAt = Now; }
  /// Records that the store was not restored just before the first read.
  void onEraSettled() { FirstReadAt.reset(); }
  /// CopyEnd: revision up to which items may come from the copy.
  void onRestored(store_revision CopyEnd, steady_time Now);
  /// Records that the operators have written the configuration since, so that
  /// the copy's configuration no longer counts.
  void onConfigurationWritten() { IsConfigurationWritten = true; }

  bool mayComeFromCopy(store_revision Revision) const;
  /// Whether all writers have had time to repeat their writes.
  bool isSettled(steady_time Now) const;
  /// Whether a configuration that the store confirmed at this time is the
  /// latest one that operators wrote before the restoration.
  bool isConfigurationCurrent(steady_time ConfirmedAt) const;

private:
  store_revision CopyEnd;
  std::optional<steady_time> FirstReadAt;
  std::optional<steady_time> RestoredAt;
  bool IsConfigurationWritten = false;
};

} // namespace azurehaven
