#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/result.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurehaven {

enum class version_state {
  /// Serves any request whose class and account allow it.
  Active,
  /// Under roll-out: its share grows with evidence.
  RollingOut,
  /// A roll-out that an operator has paused: only sessions pinned to it.
  Paused,
  /// Receives no new work of any kind.
  Withdrawn,
};

/// A version of a model, with what its tokens cost the client account.
struct model_version {
  version_id Id;
  model_id Model;
  /// Price of 1,000 prompt tokens.
  micro_euros PromptPrice;
  /// Price of 1,000 completion tokens.
  micro_euros CompletionPrice;
  version_state State = version_state::Active;
};

/// A class of work and the targets that operators set for it.
struct work_class {
  class_id Id;
  /// Wanted mean rating, 0 to 1.
  double QualityTarget = 0;
  /// Wanted 95th percentile of the time to the first token.
  milliseconds FirstTokenTarget{0};
  /// Bound on the whole answer; a request past it is given up.
  milliseconds Deadline{0};
  /// Wanted mean cost of a request.
  micro_euros CostTarget;
  /// How heavily excess latency counts against cost; 1 is neutral.
  double LatencyWeight = 1;
  /// How heavily exposure to unproven versions counts; 1 is neutral.
  double ExposureWeight = 1;
  /// Classes of a lower priority are shed first; 0 to 9.
  int Priority = 5;
};

struct client_account {
  client_account_id Id;
  /// SHA-256 of the account's key, in hexadecimal.
  std::string KeyHash;
  /// Models, or single versions, that the account may use.
  std::set<model_id> AllowedModels;
  std::set<version_id> AllowedVersions;
  /// Weight of the account in the fair division of capacity.
  double Share = 1;
};

struct plain_service {
  service_id Id;
  /// Whether a call may be sent again after it may have run.
  bool IsIdempotent = false;
  /// Price of one call.
  micro_euros CallPrice;
};

/// Secret of the session tokens; older keys verify, the newest one signs.
struct session_key {
  std::string Id;
  std::string Secret;
};

/// Who changed what, kept in the configuration and in the audit trail.
struct audit_record {
  std::uint64_t Version = 0;
  change_id Change;
  std::string Actor;
  std::string Kind;
  /// The changed object, such as "class/survey".
  std::string Subject;
  std::string Detail;
  unix_millis ChangedAt;
};

/// One immutable version of everything that operators have declared.
struct configuration {
  std::uint64_t Version = 0;
  std::map<class_id, work_class> Classes;
  std::map<client_account_id, client_account> Accounts;
  std::map<version_id, model_version> Versions;
  std::map<service_id, plain_service> Services;
  std::vector<session_key> SessionKeys;
  /// Entry VMs whose majority vouches for a version; see docs/design.
  std::set<vm_id> Roster;
  /// The latest changes, newest last.
  std::vector<audit_record> RecentChanges;
  /// The configuration version that last changed each subject.
  std::map<std::string, std::uint64_t> LastChanged;

  const model_version *findVersion(const version_id &Id) const;
  const client_account *findAccountByKey(const std::string &Key) const;
  /// Whether the account may use the version and it takes new work.
  bool permits(const client_account &Account, const version_id &Id) const;
};

/// Hexadecimal SHA-256 of an account's key.
std::string hashAccountKey(const std::string &Key);

const char *nameOf(version_state State);
std::optional<version_state> parseVersionState(const std::string &Name);

} // namespace azurehaven
