#pragma once

#include "LibEntry/entry_services.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// Submits configuration changes without an operator: withdraws model versions
/// that raise a health alarm, promotes versions in roll-out that match their
/// incumbent, and updates the roster, the set of entry VMs that vote on the
/// configuration. Each change is audited. Several VMs may submit the same
/// change; they derive the same change id, so that a duplicate has no effect.
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
  /// Adds or removes at most one VM a round.
  void updateRoster();
  bool isRosterChangeSafe(const configuration &Configuration,
                          steady_time Now) const;
  /// Returns whether the change is in the store.
  bool submit(const std::string &Id, const std::string &Kind,
              nlohmann::json Body);

  const entry_services &Services;
  /// Health alarms of the versions whose withdrawal is not in the store yet.
  std::map<version_id, version_alarm> PendingAlarms;
};

} // namespace azurehaven
