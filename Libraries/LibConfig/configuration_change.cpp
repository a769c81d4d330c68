#include "LibConfig/configuration_change.h"

#include "LibConfig/field_reader.h"

#include <algorithm>

namespace azurehaven {

using nlohmann::json;

namespace {

/// At 16,000 changes a day, the records cover 20 minutes in which the outcome
/// of a write whose response was lost can be resolved.
constexpr std::size_t RecentChangeLimit = 256;
/// Beyond it, the oldest key is removed, and its tokens are no longer accepted.
constexpr std::size_t SessionKeyLimit = 4;

/// The next configuration while one change is being applied to it.
struct draft {
  configuration Next;
  std::vector<std::string> Errors;
  std::vector<std::string> Subjects;
  std::string Detail;
};

void putClass(draft &Draft, const json &Body) {
  field_reader Reader(Body, "class", Draft.Errors);
  work_class Class;
  Class.Id = class_id(Reader.text("id"));
  auto Existing = Draft.Next.Classes.find(Class.Id);
  if (Existing != Draft.Next.Classes.end())
    Class = Existing->second;
  Reader.number("quality_target", Class.QualityTarget, 0, 1);
  Reader.duration("first_token_ms", Class.FirstTokenTarget, milliseconds(1),
                  milliseconds(600000));
  Reader.duration("deadline_ms", Class.Deadline, milliseconds(1),
                  milliseconds(3600000));
  std::int64_t Cost = Class.CostTarget.count();
  Reader.integer("cost_target_micro_euros", Cost, 0, 1000000000);
  Class.CostTarget = micro_euros(Cost);
  Reader.number("latency_weight", Class.LatencyWeight, 0, 100);
  Reader.number("exposure_weight", Class.ExposureWeight, 0, 100);
  std::int64_t Priority = Class.Priority;
  Reader.integer("priority", Priority, 0, 9);
  Class.Priority = static_cast<int>(Priority);
  if (Class.Deadline < Class.FirstTokenTarget)
    Draft.Errors.push_back(
        "class.deadline_ms: " + std::to_string(Class.Deadline.count()) +
        " is below first_token_ms; accepted: at least " +
        std::to_string(Class.FirstTokenTarget.count()));
  Reader.rejectUnknownFields();
  Draft.Next.Classes[Class.Id] = Class;
  Draft.Subjects.push_back("class/" + Class.Id.text());
}

void putAccount(draft &Draft, const json &Body) {
  field_reader Reader(Body, "account", Draft.Errors);
  client_account Account;
  Account.Id = client_account_id(Reader.text("id"));
  auto Existing = Draft.Next.Accounts.find(Account.Id);
  if (Existing != Draft.Next.Accounts.end())
    Account = Existing->second;
  if (auto Key = Reader.optionalText("key"))
    Account.KeyHash = hashAccountKey(*Key);
  if (Account.KeyHash.empty())
    Draft.Errors.push_back("account.key: missing; accepted: the secret that "
                           "the account's callers send");
  if (auto Models = Reader.optionalTexts("models")) {
    Account.AllowedModels.clear();
    for (auto &Model : *Models)
      Account.AllowedModels.insert(model_id(Model));
  }
  if (auto Versions = Reader.optionalTexts("versions")) {
    Account.AllowedVersions.clear();
    for (auto &Version : *Versions)
      Account.AllowedVersions.insert(version_id(Version));
  }
  Reader.number("share", Account.Share, 0.01, 1000);
  Reader.rejectUnknownFields();
  Draft.Next.Accounts[Account.Id] = Account;
  Draft.Subjects.push_back("account/" + Account.Id.text());
}

void putVersion(draft &Draft, const json &Body) {
  field_reader Reader(Body, "version", Draft.Errors);
  model_version Version;
  Version.Id = version_id(Reader.text("id"));
  const std::size_t AtSign = Version.Id.text().find('@');
  if (AtSign == std::string::npos || AtSign == 0 ||
      AtSign + 1 == Version.Id.text().size())
    Draft.Errors.push_back("version.id: \"" + Version.Id.text() +
                           "\"; accepted: model@version");
  auto Existing = Draft.Next.Versions.find(Version.Id);
  if (Existing != Draft.Next.Versions.end())
    Version = Existing->second;
  Version.Model = model_id(Version.Id.text().substr(0, AtSign));
  std::int64_t Prompt = Version.PromptPrice.count();
  std::int64_t Completion = Version.CompletionPrice.count();
  Reader.integer("prompt_price", Prompt, 0, 1000000000);
  Reader.integer("completion_price", Completion, 0, 1000000000);
  Version.PromptPrice = micro_euros(Prompt);
  Version.CompletionPrice = micro_euros(Completion);
  if (auto State = Reader.optionalText("state")) {
    auto Parsed = parseVersionState(*State);
    if (!Parsed)
      Draft.Errors.push_back("version.state: \"" + *State +
                             "\"; accepted: active, rolling-out, paused, "
                             "withdrawn");
    Version.State = Parsed.value_or(Version.State);
  }
  Reader.rejectUnknownFields();
  Draft.Next.Versions[Version.Id] = Version;
  Draft.Subjects.push_back("version/" + Version.Id.text());
}

void setVersionState(draft &Draft, const json &Body) {
  field_reader Reader(Body, "version", Draft.Errors);
  version_id Id(Reader.text("id"));
  std::string State = Reader.text("state");
  if (auto Reason = Reader.optionalText("reason"))
    Draft.Detail = State + ": " + *Reason;
  else
    Draft.Detail = State;
  Reader.rejectUnknownFields();
  auto Found = Draft.Next.Versions.find(Id);
  if (Found == Draft.Next.Versions.end()) {
    Draft.Errors.push_back("version.id: \"" + Id.text() +
                           "\" is not known; accepted: a declared version");
    return;
  }
  auto Parsed = parseVersionState(State);
  if (!Parsed) {
    Draft.Errors.push_back("version.state: \"" + State +
                           "\"; accepted: active, rolling-out, paused, "
                           "withdrawn");
    return;
  }
  Found->second.State = *Parsed;
  Draft.Subjects.push_back("version/" + Id.text());
}

void putService(draft &Draft, const json &Body) {
  field_reader Reader(Body, "service", Draft.Errors);
  plain_service Service;
  Service.Id = service_id(Reader.text("id"));
  auto Existing = Draft.Next.Services.find(Service.Id);
  if (Existing != Draft.Next.Services.end())
    Service = Existing->second;
  Reader.boolean("idempotent", Service.IsIdempotent);
  std::int64_t CallPrice = Service.CallPrice.count();
  Reader.integer("call_price", CallPrice, 0, 1000000000);
  Service.CallPrice = micro_euros(CallPrice);
  Reader.rejectUnknownFields();
  Draft.Next.Services[Service.Id] = Service;
  Draft.Subjects.push_back("service/" + Service.Id.text());
}

void rotateSessionKey(draft &Draft, const json &Body) {
  field_reader Reader(Body, "session_key", Draft.Errors);
  session_key Key{Reader.text("id"), Reader.text("secret")};
  Reader.rejectUnknownFields();
  if (Key.Secret.size() < 32)
    Draft.Errors.push_back(
        "session_key.secret: " + std::to_string(Key.Secret.size()) +
        " characters; accepted: at least 32");
  auto &Keys = Draft.Next.SessionKeys;
  Keys.push_back(std::move(Key));
  if (Keys.size() > SessionKeyLimit)
    Keys.erase(Keys.begin());
  Draft.Subjects.push_back("session-keys");
}

enum class roster_operation { Add, Remove };

void changeRoster(draft &Draft, const json &Body, roster_operation Operation) {
  field_reader Reader(Body, "roster", Draft.Errors);
  vm_id Vm(Reader.text("vm"));
  Reader.rejectUnknownFields();
  if (Operation == roster_operation::Add)
    Draft.Next.Roster.insert(Vm);
  else
    Draft.Next.Roster.erase(Vm);
  Draft.Detail = Vm.text();
  Draft.Subjects.push_back("roster");
}

void applyByKind(draft &Draft, const std::string &Kind, const json &Body);

void applyBatch(draft &Draft, const json &Body) {
  if (!Body.is_array()) {
    Draft.Errors.push_back("batch: accepted: an array of {kind, body}");
    return;
  }
  for (const auto &Item : Body) {
    const std::string Kind =
        Item.is_object() ? Item.value("kind", std::string()) : std::string();
    if (Kind == "add_to_roster" || Kind == "remove_from_roster" ||
        Kind == "batch") {
      // Majorities of successive rosters intersect only if each change adds or
      // removes one VM, so that a batch may not contain roster changes.
      Draft.Errors.push_back("batch.kind: \"" + Kind +
                             "\" must be submitted as a change of its own");
      continue;
    }
    applyByKind(Draft, Kind,
                Item.is_object() ? Item.value("body", json()) : json());
  }
}

void applyByKind(draft &Draft, const std::string &Kind, const json &Body) {
  if (Kind == "put_class")
    return putClass(Draft, Body);
  if (Kind == "put_account")
    return putAccount(Draft, Body);
  if (Kind == "put_version")
    return putVersion(Draft, Body);
  if (Kind == "set_version_state")
    return setVersionState(Draft, Body);
  if (Kind == "put_service")
    return putService(Draft, Body);
  if (Kind == "rotate_session_key")
    return rotateSessionKey(Draft, Body);
  if (Kind == "add_to_roster")
    return changeRoster(Draft, Body, roster_operation::Add);
  if (Kind == "remove_from_roster")
    return changeRoster(Draft, Body, roster_operation::Remove);
  if (Kind == "batch")
    return applyBatch(Draft, Body);
  Draft.Errors.push_back(
      "kind: \"" + Kind +
      "\"; accepted: put_class, put_account, put_version, set_version_state, "
      "put_service, rotate_session_key, add_to_roster, remove_from_roster, "
      "batch");
}

/// Rejects allow lists that name an unknown model or version, most likely a
/// typing error.
void checkReferences(draft &Draft) {
  std::set<model_id> Models;
  for (const auto &[Id, Version] : Draft.Next.Versions)
    Models.insert(Version.Model);
  for (const auto &[Id, Account] : Draft.Next.Accounts) {
    for (const auto &Model : Account.AllowedModels)
      if (!Models.contains(Model))
        Draft.Errors.push_back("account.models: \"" + Model.text() +
                               "\" of account \"" + Id.text() +
                               "\"; accepted: a model with a declared version");
    for (const auto &Version : Account.AllowedVersions)
      if (!Draft.Next.Versions.contains(Version))
        Draft.Errors.push_back("account.versions: \"" + Version.text() +
                               "\" of account \"" + Id.text() +
                               "\"; accepted: a declared version");
  }
}

std::string joinErrors(const std::vector<std::string> &Errors) {
  std::string Joined;
  for (const auto &Error : Errors)
    Joined += (Joined.empty() ? "" : "; ") + Error;
  return Joined;
}

std::optional<error> findConflict(const configuration &Current,
                                  const draft &Draft,
                                  std::uint64_t BaseVersion) {
  if (BaseVersion == 0)
    return std::nullopt;
  for (const auto &Subject : Draft.Subjects) {
    auto Last = Current.LastChanged.find(Subject);
    if (Last == Current.LastChanged.end() || Last->second <= BaseVersion)
      continue;
    std::string Message = Subject + " was changed at version " +
                          std::to_string(Last->second) + " after version " +
                          std::to_string(BaseVersion) +
                          ", the base of this change";
    for (const auto &Record : Current.RecentChanges)
      if (Record.Version == Last->second)
        Message += ", by " + Record.Actor + " (" + Record.Kind + " " +
                   Record.Detail + ")";
    return error{error_code::Conflict, Message};
  }
  return std::nullopt;
}

void recordChange(draft &Draft, const configuration_change &Change,
                  unix_millis ChangedAt) {
  audit_record Record;
  Record.Version = Draft.Next.Version;
  Record.Change = Change.Id;
  Record.Actor = Change.Actor;
  Record.Kind = Change.Kind;
  for (const auto &Subject : Draft.Subjects) {
    Record.Subject += (Record.Subject.empty() ? "" : ",") + Subject;
    Draft.Next.LastChanged[Subject] = Draft.Next.Version;
  }
  Record.Detail = Draft.Detail;
  Record.ChangedAt = ChangedAt;
  auto &Recent = Draft.Next.RecentChanges;
  Recent.push_back(std::move(Record));
  if (Recent.size() > RecentChangeLimit)
    Recent.erase(Recent.begin());
}

} // namespace

result<configuration_change> parseChange(const std::string &Text) {
  json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return error{error_code::InvalidInput, "body: accepted: a JSON object"};
  std::vector<std::string> Errors;
  field_reader Reader(Document, "change", Errors);
  configuration_change Change;
  Change.Id = change_id(Reader.text("change"));
  Change.Actor = Reader.text("actor");
  Change.Kind = Reader.text("kind");
  std::int64_t Base = 0;
  Reader.integer("base_version", Base, 0, INT64_MAX);
  Change.BaseVersion = static_cast<std::uint64_t>(Base);
  Change.Body = Document.value("body", json());
  if (!Errors.empty())
    return error{error_code::InvalidInput, joinErrors(Errors)};
  return Change;
}

result<configuration> applyChange(const configuration &Current,
                                  const configuration_change &Change,
                                  unix_millis ChangedAt) {
  draft Draft{Current, {}, {}, {}};
  applyByKind(Draft, Change.Kind, Change.Body);
  if (Draft.Errors.empty())
    checkReferences(Draft);
  if (!Draft.Errors.empty())
    return error{error_code::InvalidInput, joinErrors(Draft.Errors)};
  if (auto Conflict = findConflict(Current, Draft, Change.BaseVersion))
    return *Conflict;
  Draft.Next.Version = Current.Version + 1;
  recordChange(Draft, Change, ChangedAt);
  return std::move(Draft.Next);
}

const audit_record *findChange(const configuration &Configuration,
                               const change_id &Id) {
  auto Found = std::find_if(
      Configuration.RecentChanges.begin(), Configuration.RecentChanges.end(),
      [&](const audit_record &Record) { return Record.Change == Id; });
  return Found == Configuration.RecentChanges.end() ? nullptr : &*Found;
}

} // namespace azurehaven
