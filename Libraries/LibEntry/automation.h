#pragma once

#include "LibEntry/entry_services.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// Submits configuration changes without an operator: withdraws versions that
/// raise a health alarm, promotes roll-outs that match their incumbent, and
/// updates the roster. Each change is audited. Every VM may submit one; VMs
/// derive the same change id, so that a duplicate has no effect.
class automation {
public:
  explicit automation(const entry_services &Services) : Services(Services) {}

  /// Runs one round. Blocks on the store.
  void run();

private:
  void withdrawBadVersions();
  bool wouldLeaveAccountWithoutVersion(const configuration &Configuration,
                                       const version_id &Version) const;
  void promoteProvenVersions();
  void updateRoster();
  bool isRosterChangeSafe(const configuration &Configuration,
                          steady_time Now) const;
  /// Returns whether the change is in effect.
  bool submit(const std::string &Id, const std::string &Kind,
              nlohmann::json Body);

  const entry_services &Services;
  /// Alarms whose withdrawal has not been stored yet.
  std::map<version_id, version_alarm> PendingAlarms;
};

} // namespace azurehaven
