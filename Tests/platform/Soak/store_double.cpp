#include "Soak/store_double.h"

#include "platform/base64.h"

#include <algorithm>

namespace azurehaven::platform {

namespace {

using nlohmann::json;

served_response respond(const json &Body, int Status = 200) {
  served_response Response;
  Response.Status = Status;
  Response.Body = Body.dump();
  return Response;
}

served_response respondEmpty(int Status) {
  served_response Response;
  Response.Status = Status;
  return Response;
}

/// A response body that is truncated before its first byte.
class dropped_response : public body_source {
public:
  std::optional<std::string> next() override { return std::nullopt; }
  bool isComplete() const override { return false; }
};

std::string query(const served_request &Request, const char *Name) {
  auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? std::string() : Found->second;
}

std::uint64_t numberOf(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

served_response store_double::serve(const served_request &Request) {
  served_response Response = respondTo(Request);
  std::lock_guard Lock(Mutex);
  Response.Headers.emplace_back("Store-Era", std::to_string(Era));
  return Response;
}

served_response store_double::respondTo(const served_request &Request) {
  if (IsDown)
    return respondEmpty(503);
  const std::string Keep = "/v1/kv-keep/";
  const std::string End = "/v1/kv-lease-end/";
  served_response Response;
  if (Request.Path == "/v1/kv-range")
    return range(Request);
  if (Request.Path == "/v1/kv-watch")
    return watch(Request);
  if (Request.Path == "/v1/kv-txn")
    Response = commit(Request);
  else if (Request.Path == "/v1/kv-lease")
    Response = grantLease(Request);
  else if (Request.Path.starts_with(Keep))
    Response = keepLease(numberOf(Request.Path.substr(Keep.size())));
  else if (Request.Path.starts_with(End))
    Response = endLease(numberOf(Request.Path.substr(End.size())));
  else
    return respondEmpty(404);
  if (DropsResponses)
    Response.Source = std::make_unique<dropped_response>();
  return Response;
}

json store_double::describe(const std::string &Key, const item &Item) {
  return {{"key", Key},
          {"value", encodeBase64(Item.Value)},
          {"revision", Item.Revision},
          {"create_revision", Item.Revision},
          {"lease", Item.Lease}};
}

served_response store_double::range(const served_request &Request) {
  std::lock_guard Lock(Mutex);
  expireLeases();
  json Listed = json::array();
  for (const auto &[Key, Item] : Items)
    if (Key.starts_with(query(Request, "path_prefix")) &&
        Key > query(Request, "after"))
      Listed.push_back(describe(Key, Item));
  return respond(
      {{"items", Listed}, {"more_pages", false}, {"current_rev", Revision}});
}

served_response store_double::watch(const served_request &Request) {
  const std::uint64_t After = numberOf(query(Request, "after"));
  const milliseconds Wait(numberOf(query(Request, "wait_ms")));
  const std::string Prefix = query(Request, "path_prefix");
  std::unique_lock Lock(Mutex);
  const std::uint64_t EraAtStart = Era;
  if (After > Revision)
    return respondEmpty(410);
  json Events = json::array();
  const auto Gather = [&] {
    expireLeases();
    for (const auto &Change : History) {
      if (Change.Revision <= After || !Change.Key.starts_with(Prefix))
        continue;
      if (Change.Item)
        Events.push_back(describe(Change.Key, *Change.Item));
      else
        Events.push_back({{"key", Change.Key},
                          {"revision", Change.Revision},
                          {"tombstone", true}});
    }
    return !Events.empty() || IsDown || Era != EraAtStart;
  };
  // Wakes up every 100 ms to expire leases.
  const auto End = std::chrono::steady_clock::now() + Wait;
  while (!Gather() && std::chrono::steady_clock::now() < End)
    HasChanged.wait_until(Lock,
                          std::min(End, std::chrono::steady_clock::now() +
                                            std::chrono::milliseconds(100)));
  if (IsDown)
    return respondEmpty(503);
  if (Era != EraAtStart)
    return respondEmpty(410);
  return respond({{"events", Events}, {"current_rev", Revision}});
}

served_response store_double::commit(const served_request &Request) {
  const json Body = json::parse(Request.Body);
  std::lock_guard Lock(Mutex);
  expireLeases();
  json Conflicts = json::array();
  for (const auto &Condition : Body.at("expected_rev")) {
    auto Found = Items.find(Condition.at("key").get<std::string>());
    const std::uint64_t Seen =
        Found == Items.end() ? 0 : Found->second.Revision;
    if (Seen != Condition.at("revision").get<std::uint64_t>())
      Conflicts.push_back(Condition);
  }
  if (!Conflicts.empty())
    return respond({{"items", json::array()}}, 412);
  for (const auto &Put : Body.at("puts")) {
    const auto Lease = Put.at("lease").get<std::uint64_t>();
    if (Lease != 0 && !Leases.contains(Lease))
      return respondEmpty(404);
  }
  for (const auto &Put : Body.at("puts"))
    write(Put.at("key").get<std::string>(),
          {decodeBase64(Put.at("value").get<std::string>()).value_or(""), 0,
           Put.at("lease").get<std::uint64_t>()});
  for (const auto &Key : Body.at("remove"))
    erase(Key.get<std::string>());
  return respond({{"revision", Revision}});
}

served_response store_double::grantLease(const served_request &Request) {
  const json Body = json::parse(Request.Body);
  std::lock_guard Lock(Mutex);
  const milliseconds TimeToLive(Body.at("ttl_ms").get<std::int64_t>());
  const std::uint64_t Id = NextLease++;
  Leases[Id] = {TimeToLive, std::chrono::steady_clock::now() + TimeToLive};
  return respond({{"lease", Id}, {"ttl_ms", TimeToLive.count()}});
}

served_response store_double::keepLease(std::uint64_t Id) {
  std::lock_guard Lock(Mutex);
  expireLeases();
  auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return respondEmpty(404);
  Found->second.EndsAt =
      std::chrono::steady_clock::now() + Found->second.TimeToLive;
  return respond({{"lease", Id}, {"ttl_ms", Found->second.TimeToLive.count()}});
}

served_response store_double::endLease(std::uint64_t Id) {
  std::lock_guard Lock(Mutex);
  dropLease(Id);
  return respond(json::object());
}

std::uint64_t store_double::put(const std::string &Key,
                                const std::string &Value) {
  std::lock_guard Lock(Mutex);
  OutsideWrites.push_back({Key, Value});
  write(Key, {Value, 0, 0});
  return Revision;
}

void store_double::remove(const std::string &Key) {
  std::lock_guard Lock(Mutex);
  OutsideWrites.push_back({Key, std::nullopt});
  erase(Key);
}

void store_double::makeCopy() {
  std::lock_guard Lock(Mutex);
  expireLeases();
  Copy = {Revision, NextLease, Items, Leases};
  OutsideWrites.clear();
}

void store_double::restore() {
  std::lock_guard Lock(Mutex);
  ++Era;
  Revision = Copy.Revision;
  NextLease = Copy.NextLease;
  Items = Copy.Items;
  Leases = Copy.Leases;
  History.clear();
  // The leases of the copy run on for their full time.
  for (auto &[Id, Lease] : Leases)
    Lease.EndsAt = std::chrono::steady_clock::now() + Lease.TimeToLive;
  HasChanged.notify_all();
}

void store_double::repeatOutsideWrites() {
  std::lock_guard Lock(Mutex);
  for (const auto &Write : OutsideWrites) {
    if (Write.Value)
      write(Write.Key, {*Write.Value, 0, 0});
    else
      erase(Write.Key);
  }
}

std::map<std::string, std::string>
store_double::values(const std::string &Prefix) {
  std::lock_guard Lock(Mutex);
  std::map<std::string, std::string> Found;
  for (const auto &[Key, Item] : Items)
    if (Key.starts_with(Prefix))
      Found[Key] = Item.Value;
  return Found;
}

void store_double::write(const std::string &Key, item Item) {
  Item.Revision = ++Revision;
  Items[Key] = Item;
  History.push_back({Revision, Key, Item});
  HasChanged.notify_all();
}

void store_double::erase(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  History.push_back({++Revision, Key, std::nullopt});
  HasChanged.notify_all();
}

void store_double::dropLease(std::uint64_t Id) {
  if (Leases.erase(Id) == 0)
    return;
  std::vector<std::string> Bound;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Bound.push_back(Key);
  for (const auto &Key : Bound)
    erase(Key);
}

void store_double::expireLeases() {
  const auto Now = std::chrono::steady_clock::now();
  std::vector<std::uint64_t> Expired;
  for (const auto &[Id, Lease] : Leases)
    if (Lease.EndsAt <= Now)
      Expired.push_back(Id);
  for (const std::uint64_t Id : Expired)
    dropLease(Id);
}

} // namespace azurehaven::platform
