#include "LibEntry/automation.h"

#include "LibEntry/change_submitter.h"

#include <nlohmann/json.hpp>

namespace azurehaven {

namespace {

const std::string Actor = "azurehaven";

std::uint64_t
configurationVersionOfLastChange(const configuration &Configuration,
                                 const std::string &Subject) {
  auto Found = Configuration.LastChanged.find(Subject);
  return Found == Configuration.LastChanged.end() ? 0 : Found->second;
}

} // namespace

void automation::run() {
  for (auto &Alarm : Services.Router.evaluateHealth()) {
    Services.Metrics.increment("azurehaven_version_alarms_total");
    Services.Log.write(log_level::Warning, "version_alarm",
                       {{"version", Alarm.Subject.Version.text()},
                        {"class", Alarm.Subject.Class.text()},
                        {"evidence", Alarm.Evidence}});
    PendingAlarms.emplace(Alarm.Subject.Version, std::move(Alarm));
  }
  withdrawBadVersions();
  promoteProvenVersions();
  updateRoster();
}

bool automation::submit(const std::string &Id, const std::string &Kind,
                        nlohmann::json Body) {
  configuration_change Change;
  Change.Id = change_id(Id);
  Change.Actor = Actor;
  Change.Kind = Kind;
  Change.Body = std::move(Body);
  auto Submitted = submitChange(Services, Change, milliseconds(0));
  if (!isError(Submitted))
    return true;
  Services.Log.write(log_level::Warning, "automatic_change_failed",
                     {{"change", Id}, {"error", errorOf(Submitted).Message}});
  return false;
}

void automation::withdrawBadVersions() {
  for (auto It = PendingAlarms.begin(); It != PendingAlarms.end();) {
    const auto &[Version, Alarm] = *It;
    const auto Current = Services.Configuration.current();
    const model_version *Known = Current->findVersion(Version);
    if (!Known || Known->State == version_state::Withdrawn) {
      It = PendingAlarms.erase(It);
      continue;
    }
    if (wouldLeaveAccountWithoutVersion(*Current, Version)) {
      Services.Log.write(log_level::Error, "bad_version_kept",
                         {{"version", Version.text()},
                          {"reason", "an account would have no version left"},
                          {"evidence", Alarm.Evidence}});
      It = PendingAlarms.erase(It);
      continue;
    }
    // The id names the model version and its last change, so that all VMs that
    // raise an alarm about the same state derive the same id.
    const std::string Id = "auto-withdraw/" + Version.text() + "/" +
                           std::to_string(configurationVersionOfLastChange(
                               *Current, "version/" + Version.text()));
    if (submit(Id, "set_version_state",
               {{"id", Version.text()},
                {"state", "withdrawn"},
                {"reason", Alarm.Evidence}}))
      It = PendingAlarms.erase(It);
    else
      ++It;
  }
}

bool automation::wouldLeaveAccountWithoutVersion(
    const configuration &Configuration, const version_id &Version) const {
  for (const auto &[Id, Account] : Configuration.Accounts) {
    bool UsesIt = false;
    bool HasAnother = false;
    for (const auto &[Other, Declared] : Configuration.Versions) {
      if (!Configuration.permits(Account, Other))
        continue;
      if (Other == Version)
        UsesIt = true;
      else if (Declared.State != version_state::Paused)
        HasAnother = true;
    }
    if (UsesIt && !HasAnother)
      return true;
  }
  return false;
}

void automation::promoteProvenVersions() {
  const auto Current = Services.Configuration.current();
  for (const auto &Version : Services.Router.promotableVersions(*Current)) {
    const std::string Id = "auto-promote/" + Version.text() + "/" +
                           std::to_string(configurationVersionOfLastChange(
                               *Current, "version/" + Version.text()));
    submit(Id, "set_version_state",
           {{"id", Version.text()},
            {"state", "active"},
            {"reason", "as good as its incumbent in every class tried"}});
  }
}

/// The roster may change only once a majority of it holds the current
/// configuration, so that majorities of successive rosters intersect; or once
/// every other VM of the roster has left or failed.
bool automation::isRosterChangeSafe(const configuration &Configuration,
                                    steady_time Now) const {
  if (Configuration.Roster.empty() ||
      Services.Freshness.isHeldByMajority(Configuration.Version,
                                          Configuration.Roster, Now))
    return true;
  for (const auto &Vm : Configuration.Roster)
    if (Vm != Services.Settings.Vm &&
        !Services.Members.hasLeftOrFailed(Vm, Now))
      return false;
  return true;
}

void automation::updateRoster() {
  const steady_time Now = Services.Clock.now();
  const auto Current = Services.Configuration.current();
  if (!Services.Freshness.storeConfirmation(Now) ||
      !isRosterChangeSafe(*Current, Now))
    return;
  const std::string Suffix =
      "/" +
      std::to_string(configurationVersionOfLastChange(*Current, "roster"));
  std::set<vm_id> Present = {Services.Settings.Vm};
  for (const auto &Vm : Services.Members.responsivePeers(Now))
    Present.insert(Vm);
  for (const auto &Vm : Present)
    if (!Current->Roster.contains(Vm)) {
      submit("roster-add/" + Vm.text() + Suffix, "add_to_roster",
             {{"vm", Vm.text()}});
      return;
    }
  for (const auto &Vm : Current->Roster)
    if (!Present.contains(Vm) && Services.Members.hasLeftOrFailed(Vm, Now)) {
      submit("roster-remove/" + Vm.text() + Suffix, "remove_from_roster",
             {{"vm", Vm.text()}});
      return;
    }
}

} // namespace azurehaven
