#pragma once

#include "LibEntry/entry_services.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

/// What the system does of its own accord, each an audited change: withdraws
/// versions that turned bad, promotes proven roll-outs, keeps the roster.
/// Every VM may act; equal change ids make the second one harmless.
class automation {
public:
  explicit automation(const entry_services &Services) : Services(Services) {}

  /// One round; blocks on the store.
  void run();

private:
  void withdrawBadVersions();
  bool wouldLeaveAccountWithoutVersion(const configuration &Configuration,
                                       const version_id &Version) const;
  void promoteProvenVersions();
  void updateRoster();
  bool isRosterChangeSafe(const configuration &Configuration,
                          steady_time Now) const;
  /// Submits a change that any VM may submit; returns whether it is in effect.
  bool submit(const std::string &Id, const std::string &Kind,
              nlohmann::json Body);

  const entry_services &Services;
  /// Alarms whose withdrawal is not in the store yet.
  std::map<version_id, version_alarm> PendingAlarms;
};

} // namespace azurehaven
