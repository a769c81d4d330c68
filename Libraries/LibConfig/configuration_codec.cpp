#include "LibConfig/configuration_codec.h"

namespace azurehaven {

using nlohmann::json;

json encodeAuditRecord(const audit_record &Record) {
  return {{"version", Record.Version},
          {"change", Record.Change.text()},
          {"actor", Record.Actor},
          {"kind", Record.Kind},
          {"subject", Record.Subject},
          {"detail", Record.Detail},
          {"at_ms", Record.ChangedAt.count()}};
}

json encodeWorkClass(const work_class &Class) {
  return {{"id", Class.Id.text()},
          {"quality_target", Class.QualityTarget},
          {"first_token_ms", Class.FirstTokenTarget.count()},
          {"deadline_ms", Class.Deadline.count()},
          {"cost_target_micro_euros", Class.CostTarget.count()},
          {"latency_weight", Class.LatencyWeight},
          {"exposure_weight", Class.ExposureWeight},
          {"priority", Class.Priority}};
}

json encodeAccountForOperators(const client_account &Account) {
  json Models = json::array();
  for (const auto &Model : Account.AllowedModels)
    Models.push_back(Model.text());
  json Versions = json::array();
  for (const auto &Version : Account.AllowedVersions)
    Versions.push_back(Version.text());
  return {{"id", Account.Id.text()},
          {"models", Models},
          {"versions", Versions},
          {"share", Account.Share}};
}

json encodeModelVersion(const model_version &Version) {
  return {{"id", Version.Id.text()},
          {"model", Version.Model.text()},
          {"prompt_price", Version.PromptPrice.count()},
          {"completion_price", Version.CompletionPrice.count()},
          {"state", nameOf(Version.State)}};
}

json encodeConfiguration(const configuration &Configuration) {
  json Document = {{"version", Configuration.Version},
                   {"classes", json::array()},
                   {"accounts", json::array()},
                   {"versions", json::array()},
                   {"services", json::array()},
                   {"session_keys", json::array()},
                   {"roster", json::array()},
                   {"recent_changes", json::array()},
                   {"last_changed", Configuration.LastChanged}};
  for (const auto &[Id, Class] : Configuration.Classes)
    Document["classes"].push_back(encodeWorkClass(Class));
  for (const auto &[Id, Account] : Configuration.Accounts) {
    json Encoded = encodeAccountForOperators(Account);
    Encoded["key_hash"] = Account.KeyHash;
    Document["accounts"].push_back(std::move(Encoded));
  }
  for (const auto &[Id, Version] : Configuration.Versions)
    Document["versions"].push_back(encodeModelVersion(Version));
  for (const auto &[Id, Service] : Configuration.Services)
    Document["services"].push_back({{"id", Id.text()},
                                    {"idempotent", Service.IsIdempotent},
                                    {"call_price", Service.CallPrice.count()}});
  for (const auto &Key : Configuration.SessionKeys)
    Document["session_keys"].push_back(
        {{"id", Key.Id}, {"secret", Key.Secret}});
  for (const auto &Vm : Configuration.Roster)
    Document["roster"].push_back(Vm.text());
  for (const auto &Record : Configuration.RecentChanges)
    Document["recent_changes"].push_back(encodeAuditRecord(Record));
  return Document;
}

namespace {

work_class decodeWorkClass(const json &Item) {
  work_class Class;
  Class.Id = class_id(Item.at("id").get<std::string>());
  Class.QualityTarget = Item.at("quality_target").get<double>();
  Class.FirstTokenTarget =
      milliseconds(Item.at("first_token_ms").get<std::int64_t>());
  Class.Deadline = milliseconds(Item.at("deadline_ms").get<std::int64_t>());
  Class.CostTarget =
      micro_euros(Item.at("cost_target_micro_euros").get<std::int64_t>());
  Class.LatencyWeight = Item.at("latency_weight").get<double>();
  Class.ExposureWeight = Item.at("exposure_weight").get<double>();
  Class.Priority = Item.at("priority").get<int>();
  return Class;
}

client_account decodeAccount(const json &Item) {
  client_account Account;
  Account.Id = client_account_id(Item.at("id").get<std::string>());
  Account.KeyHash = Item.at("key_hash").get<std::string>();
  for (const auto &Model : Item.at("models"))
    Account.AllowedModels.insert(model_id(Model.get<std::string>()));
  for (const auto &Version : Item.at("versions"))
    Account.AllowedVersions.insert(version_id(Version.get<std::string>()));
  Account.Share = Item.at("share").get<double>();
  return Account;
}

model_version decodeModelVersion(const json &Item) {
  model_version Version;
  Version.Id = version_id(Item.at("id").get<std::string>());
  Version.Model = model_id(Item.at("model").get<std::string>());
  Version.PromptPrice =
      micro_euros(Item.at("prompt_price").get<std::int64_t>());
  Version.CompletionPrice =
      micro_euros(Item.at("completion_price").get<std::int64_t>());
  auto State = parseVersionState(Item.at("state").get<std::string>());
  // An unknown state was written by a newer release. Routing requests to the
  // version would be unsafe.
  Version.State = State.value_or(version_state::Withdrawn);
  return Version;
}

audit_record decodeAuditRecord(const json &Item) {
  audit_record Record;
  Record.Version = Item.at("version").get<std::uint64_t>();
  Record.Change = change_id(Item.at("change").get<std::string>());
  Record.Actor = Item.at("actor").get<std::string>();
  Record.Kind = Item.at("kind").get<std::string>();
  Record.Subject = Item.at("subject").get<std::string>();
  Record.Detail = Item.at("detail").get<std::string>();
  Record.ChangedAt = unix_millis(Item.at("at_ms").get<std::int64_t>());
  return Record;
}

configuration decodeDocument(const json &Document) {
  configuration Decoded;
  Decoded.Version = Document.at("version").get<std::uint64_t>();
  for (const auto &Item : Document.at("classes")) {
    work_class Class = decodeWorkClass(Item);
    Decoded.Classes.emplace(Class.Id, Class);
  }
  for (const auto &Item : Document.at("accounts")) {
    client_account Account = decodeAccount(Item);
    Decoded.Accounts.emplace(Account.Id, Account);
  }
  for (const auto &Item : Document.at("versions")) {
    model_version Version = decodeModelVersion(Item);
    Decoded.Versions.emplace(Version.Id, Version);
  }
  for (const auto &Item : Document.at("services")) {
    service_id Id(Item.at("id").get<std::string>());
    Decoded.Services.emplace(
        Id,
        plain_service{Id, Item.at("idempotent").get<bool>(),
                      micro_euros(Item.at("call_price").get<std::int64_t>())});
  }
  for (const auto &Item : Document.at("session_keys"))
    Decoded.SessionKeys.push_back({Item.at("id").get<std::string>(),
                                   Item.at("secret").get<std::string>()});
  for (const auto &Vm : Document.at("roster"))
    Decoded.Roster.insert(vm_id(Vm.get<std::string>()));
  for (const auto &Item : Document.at("recent_changes"))
    Decoded.RecentChanges.push_back(decodeAuditRecord(Item));
  Decoded.LastChanged =
      Document.at("last_changed").get<std::map<std::string, std::uint64_t>>();
  return Decoded;
}

} // namespace

result<configuration> decodeConfiguration(const std::string &Text) {
  // The JSON library reports fields of the wrong type only by exceptions.
  try {
    return decodeDocument(json::parse(Text));
  } catch (const json::exception &Exception) {
    return error{error_code::InvalidInput,
                 std::string("configuration: ") + Exception.what()};
  }
}

} // namespace azurehaven
