#include "Soak/caller_load.h"

#include <nlohmann/json.hpp>

namespace azurehaven::platform {

namespace {

using nlohmann::json;

constexpr milliseconds PlainDeadline{3000};
constexpr milliseconds StreamDeadline{7000};
/// How long a caller waits beyond its deadline, to detect late responses;
/// longer than a process is paused.
constexpr milliseconds WaitAfterDeadline{9000};
constexpr milliseconds ConnectTimeout{1000};
/// Longest rest, so that callers also send while the idle timeout is long.
constexpr milliseconds LongestRest{1500};
/// A set of paths, so that several requests have the same path.
constexpr std::uint64_t PathCount = 40;
constexpr std::size_t SmallestBody = 200;
constexpr std::size_t LargestBody = 100'000;
/// One of this many requests is the last on its connection.
constexpr std::uint64_t RequestsPerConnection = 6;
/// Pause of a caller after a request without status 200, and while no entry
/// process is resolved.
constexpr milliseconds PauseAfterFailure{50};

/// In the order of the enumerators.
constexpr const char *Paths[] = {"/lookup/item-", "/booking/item-",
                                 "/stream/item-"};

steady_time now() { return std::chrono::steady_clock::now(); }

/// A third of the resolutions are cached longer than they should be, some for
/// as long as a planned stop lasts.
milliseconds randomCacheTime(std::mt19937_64 &Random) {
  switch (Random() % 9) {
  case 0:
    return milliseconds(8000);
  case 1:
  case 2:
    return milliseconds(3000);
  default:
    return milliseconds(1000);
  }
}

} // namespace

caller_load::caller_load(const soak_cluster &Cluster, std::uint64_t Seed)
    : Cluster(Cluster), Seed(Seed) {}

caller_load::~caller_load() { stop(); }

void caller_load::start(std::size_t Callers) {
  for (std::size_t Number = 0; Number < Callers; ++Number)
    Threads.emplace_back([this, Number] { callerLoop(Seed * 1000 + Number); });
}

std::vector<caller_record> caller_load::stop() {
  IsStopping = true;
  for (auto &Thread : Threads)
    Thread.join();
  Threads.clear();
  std::lock_guard Lock(Mutex);
  return Records;
}

void caller_load::callerLoop(std::uint64_t OwnSeed) {
  std::mt19937_64 Random(OwnSeed);
  std::vector<std::size_t> Entries;
  kept_state Kept;
  auto ResolvedUntil = now();
  while (!IsStopping) {
    if (now() >= ResolvedUntil || Entries.empty()) {
      if (auto Fresh = resolveEntries(Random); !Fresh.empty())
        Entries = std::move(Fresh);
      ResolvedUntil = now() + randomCacheTime(Random);
    }
    const bool IsKept = rest(Kept, Random);
    if (!IsKept && !Entries.empty()) {
      Kept.Entry = Entries[Random() % Entries.size()];
      Kept.Connection = kept_connection::connect(
          Cluster.callerAddress(Kept.Entry), ConnectTimeout);
    }
    if (!Kept.Connection) {
      std::this_thread::sleep_for(PauseAfterFailure);
      continue;
    }
    const auto Kind = static_cast<request_kind>(Random() % 3);
    const char *Account = Random() % 3 == 0 ? RevokedAccount : SteadyAccount;
    caller_record Record = makeRecord(Kept.Entry, Kind, Account);
    const std::size_t BodyBytes =
        SmallestBody + Random() % (LargestBody - SmallestBody);
    Record.WasKept = IsKept;
    if (IsKept)
      Record.Rested = std::chrono::duration_cast<milliseconds>(
          Record.SentAt - Kept.RestingSince);
    exchange(*Kept.Connection, Record, BodyBytes);
    Kept.RestingSince = Record.EndedAt;
    const bool IsReusable = Record.IsReusable;
    const bool IsSuccessful = Record.Status == 200;
    {
      std::lock_guard Lock(Mutex);
      Records.push_back(std::move(Record));
    }
    if (!IsReusable || !IsSuccessful || Random() % RequestsPerConnection == 0)
      Kept.Connection.reset();
    if (!IsSuccessful)
      std::this_thread::sleep_for(PauseAfterFailure);
  }
}

milliseconds caller_load::longestRest(steady_time Since) const {
  return idleShare(shortestWithin(Cluster.IdleLimits.all(),
                                  Since - ConfigurationBound, now()));
}

bool caller_load::rest(kept_state &Kept, std::mt19937_64 &Random) const {
  if (!Kept.Connection)
    return false;
  const auto Longest = std::min(longestRest(now()), LongestRest);
  std::this_thread::sleep_for(
      milliseconds(Random() % static_cast<std::uint64_t>(Longest.count())));
  // The limit may have changed meanwhile.
  if (!Kept.Connection->isUnusable() &&
      now() - Kept.RestingSince < longestRest(Kept.RestingSince))
    return true;
  Kept.Connection.reset();
  return false;
}

std::vector<std::size_t> caller_load::resolveEntries(std::mt19937_64 &Random) {
  http_request Request;
  Request.Path = "/v1/resolve?name=soak.example&region=r&zone=a";
  const auto Outcome =
      Transport.send(Cluster.directoryAddress(Random() % EntryCount), Request,
                     {ConnectTimeout, ConnectTimeout}, connection_use::Fresh);
  const auto *Response = std::get_if<http_response>(&Outcome);
  if (!Response || Response->Status != 200)
    return {};
  std::vector<std::size_t> Entries;
  const json Body = json::parse(Response->Body, nullptr, false);
  for (const auto &Address : Body.value("addresses", json::array()))
    for (std::size_t Index = 0; Index < EntryCount; ++Index)
      if (Cluster.callerAddress(Index).text() == Address)
        Entries.push_back(Index);
  return Entries;
}

caller_record caller_load::makeRecord(std::size_t Entry, request_kind Kind,
                                      const std::string &Account) {
  caller_record Record;
  Record.Id =
      request_id("r" + std::to_string(Seed) + "-" + std::to_string(NextId++));
  Record.Kind = Kind;
  Record.Account = Account;
  Record.Entry = Cluster.entryName(Entry);
  Record.Deadline =
      Kind == request_kind::Stream ? StreamDeadline : PlainDeadline;
  Record.SentAt = now();
  return Record;
}

void caller_load::exchange(kept_connection &Connection, caller_record &Record,
                           std::size_t BodyBytes) const {
  const bool IsLookup = Record.Kind == request_kind::Lookup;
  std::string Text = IsLookup ? "GET " : "POST ";
  Text +=
      std::string(Paths[static_cast<std::size_t>(Record.Kind)]) +
      std::to_string(std::hash<std::string>{}(Record.Id.text()) % PathCount);
  Text += " HTTP/1.1\r\nHost: soak.example\r\n";
  Text += "Azurehaven-Attempt-Id: " + Record.Id.text() + "\r\n";
  Text += "Azurehaven-Deadline-Ms: " + std::to_string(Record.Deadline.count()) +
          "\r\n";
  Text += "Authorization: Bearer key-of-" + Record.Account + "\r\n";
  if (Record.Kind == request_kind::Stream)
    Text += "Azurehaven-Model: *\r\nAzurehaven-Token-Usage: 500,100\r\n"
            "Azurehaven-Prompt-Prefix: 5c1e:400,91bd:100\r\n";
  if (!IsLookup)
    Text += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  Text += "\r\n";
  if (!IsLookup)
    Text += std::string(BodyBytes, 'b');
  static_cast<kept_exchange &>(Record) = Connection.exchange(
      Text, Record.SentAt + Record.Deadline + WaitAfterDeadline);
  Record.EndedAt = now();
}

bool caller_load::isServed(std::size_t Entry, request_kind Kind) {
  const auto Connection =
      kept_connection::connect(Cluster.callerAddress(Entry), ConnectTimeout);
  if (!Connection)
    return false;
  caller_record Record = makeRecord(Entry, Kind, SteadyAccount);
  exchange(*Connection, Record, SmallestBody);
  return Record.Status == 200 && Record.IsWhole;
}

} // namespace azurehaven::platform
