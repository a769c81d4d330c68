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
  /// May receive any request of an account that may use it.
  Active,
  /// Under roll-out: its share of requests grows as ratings accumulate.
  RollingOut,
  /// Roll-out paused by an operator: receives only requests of sessions pinned
  /// to it.
  Paused,
  /// Receives no new requests of any kind.
  Withdrawn,
};

/// A version of a model and the token prices that client accounts pay.
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
  /// Target mean rating, 0 to 1.
  double QualityTarget = 0;
  /// Target 95th percentile of the time to the first token.
  milliseconds FirstTokenTarget{0};
  /// Time limit of the whole answer; a request that exceeds it is aborted.
  milliseconds Deadline{0};
  /// Target mean cost of a request.
  micro_euros CostTarget;
  /// Weight of the latency penalty in the cost of a plan; 1 is neutral.
  double LatencyWeight = 1;
  /// Weight of exposure to versions with few ratings; 1 is neutral.
  double ExposureWeight = 1;
  /// 0 to 9; under overload, classes of lower priority are shed first.
  int Priority = 5;
};

struct client_account {
  client_account_id Id;
  /// SHA-256 of the account's key, in hexadecimal.
  std::string KeyHash;
  /// The account may use every version of these models and the versions in
  /// AllowedVersions.
  std::set<model_id> AllowedModels;
  std::set<version_id> AllowedVersions;
  /// Weight of the account in fair sharing of capacity.
  double Share = 1;
};

struct plain_service {
  service_id Id;
  /// Whether a call that may already have been executed can be retried.
  bool IsIdempotent = false;
  /// Price of one call.
  micro_euros CallPrice;
};

/// Key for session tokens: the newest key signs, all keys verify.
struct session_key {
  std::string Id;
  std::string Secret;
};

/// Records one change; kept in the configuration and in the audit trail.
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

/// One immutable version of all settings that operators have declared.
struct configuration {
  std::uint64_t Version = 0;
  std::map<class_id, work_class> Classes;
  std::map<client_account_id, client_account> Accounts;
  std::map<version_id, model_version> Versions;
  std::map<service_id, plain_service> Services;
  std::vector<session_key> SessionKeys;
  /// Entry VMs of which a majority must hold or confirm a version; see
  /// docs/design.
  std::set<vm_id> Roster;
  /// The latest changes, oldest first.
  std::vector<audit_record> RecentChanges;
  /// Maps each subject to the configuration version that last changed it.
  std::map<std::string, std::uint64_t> LastChanged;

  const model_version *findVersion(const version_id &Id) const;
  const client_account *findAccountByKey(const std::string &Key) const;
  /// Whether the account may use the version and the version is not withdrawn.
  bool permits(const client_account &Account, const version_id &Id) const;
};

/// Hexadecimal SHA-256 of an account's key.
std::string hashAccountKey(const std::string &Key);

const char *nameOf(version_state State);
std::optional<version_state> parseVersionState(const std::string &Name);

} // namespace azurehaven
