#include "Soak/caller_load.h"

#include <nlohmann/json.hpp>

namespace azurehaven::platform {

namespace {

using nlohmann::json;

constexpr milliseconds PlainDeadline{3000};
constexpr milliseconds StreamDeadline{7000};
/// How long a caller waits beyond its deadline, to detect late responses.
constexpr milliseconds WaitAfterDeadline{3000};
constexpr milliseconds ConnectTimeout{1000};
constexpr std::uint64_t PathCount = 40;
/// Pause of a caller after a request without status 200, and while no entry
/// process is resolved.
constexpr milliseconds PauseAfterFailure{50};

std::string pathOf(request_kind Kind) {
  switch (Kind) {
  case request_kind::Lookup:
    return "/lookup/item-";
  case request_kind::Booking:
    return "/booking/item-";
  case request_kind::Stream:
    return "/stream/item-";
  }
  return "/";
}

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
  auto ResolvedUntil = std::chrono::steady_clock::now();
  while (!IsStopping) {
    const auto Now = std::chrono::steady_clock::now();
    if (Now >= ResolvedUntil || Entries.empty()) {
      if (auto Fresh = resolveEntries(Random); !Fresh.empty())
        Entries = std::move(Fresh);
      ResolvedUntil = Now + randomCacheTime(Random);
    }
    if (Entries.empty()) {
      std::this_thread::sleep_for(PauseAfterFailure);
      continue;
    }
    const std::size_t Entry = Entries[Random() % Entries.size()];
    const auto Kind = static_cast<request_kind>(Random() % 3);
    const char *Account = Random() % 3 == 0 ? RevokedAccount : SteadyAccount;
    const auto Use =
        Random() % 2 == 0 ? connection_use::Pooled : connection_use::Fresh;
    caller_record Record = sendRequest(Entry, Kind, Account, Use);
    // The entry process may close a pooled connection just as the caller reuses
    // it, so a request without a response isn't counted as interrupted if it
    // may have been sent on one. Streams always may.
    const bool MayReuseConnection =
        Use == connection_use::Pooled || Kind == request_kind::Stream;
    if (MayReuseConnection && Record.Status == 0)
      Record.MayHaveArrived = false;
    const bool IsSuccessful = Record.Status == 200;
    {
      std::lock_guard Lock(Mutex);
      Records.push_back(std::move(Record));
    }
    if (!IsSuccessful)
      std::this_thread::sleep_for(PauseAfterFailure);
  }
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

caller_record caller_load::sendRequest(std::size_t Entry, request_kind Kind,
                                       const std::string &Account,
                                       connection_use Use) {
  caller_record Record;
  Record.Id =
      request_id("r" + std::to_string(Seed) + "-" + std::to_string(NextId++));
  Record.Kind = Kind;
  Record.Account = Account;
  Record.Entry = Cluster.entryName(Entry);
  Record.Deadline =
      Kind == request_kind::Stream ? StreamDeadline : PlainDeadline;
  http_request Request;
  Request.Method = Kind == request_kind::Lookup ? "GET" : "POST";
  // A limited set of paths, so that several requests have the same path.
  Request.Path = pathOf(Kind) + std::to_string(NextId % PathCount);
  Request.Headers = {
      {"Host", "soak.example"},
      {"Azurehaven-Attempt-Id", Record.Id.text()},
      {"Azurehaven-Deadline-Ms", std::to_string(Record.Deadline.count())},
      {"Authorization", "Bearer key-of-" + Account}};
  Record.SentAt = std::chrono::steady_clock::now();
  if (Kind == request_kind::Stream) {
    Request.Headers.emplace_back("Azurehaven-Model", "*");
    Request.Headers.emplace_back("Azurehaven-Token-Usage", "500,100");
    Request.Headers.emplace_back("Azurehaven-Prompt-Prefix",
                                 "5c1e:400,91bd:100");
    sendStream(Record, Cluster.callerAddress(Entry), Request);
  } else {
    sendPlain(Record, Cluster.callerAddress(Entry), Request, Use);
  }
  Record.EndedAt = std::chrono::steady_clock::now();
  return Record;
}

void caller_load::sendPlain(caller_record &Record, const network_address &To,
                            const http_request &Request, connection_use Use) {
  const auto Outcome = Transport.send(
      To, Request, {ConnectTimeout, Record.Deadline + WaitAfterDeadline}, Use);
  if (const auto *Failure = std::get_if<http_failure>(&Outcome)) {
    Record.MayHaveArrived = Failure->Delivery == delivery::MayHaveRun;
    return;
  }
  const auto &Response = std::get<http_response>(Outcome);
  Record.Status = Response.Status;
  Record.Body = Response.Body;
  Record.IsWhole = true;
}

void caller_load::sendStream(caller_record &Record, const network_address &To,
                             const http_request &Request) {
  auto Opened = Transport.open(
      To, Request, {ConnectTimeout, Record.Deadline + WaitAfterDeadline});
  if (const auto *Failure = std::get_if<http_failure>(&Opened)) {
    Record.MayHaveArrived = Failure->Delivery == delivery::MayHaveRun;
    return;
  }
  auto &Stream = *std::get<std::unique_ptr<http_stream>>(Opened);
  Record.Status = Stream.status();
  while (true) {
    auto Part = Stream.next();
    if (std::holds_alternative<http_failure>(Part))
      return;
    auto &Bytes = std::get<std::optional<std::string>>(Part);
    if (!Bytes) {
      Record.IsWhole = true;
      return;
    }
    Record.Body += *Bytes;
  }
}

} // namespace azurehaven::platform
