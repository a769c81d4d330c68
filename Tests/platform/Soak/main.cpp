#include "LibClient/command_line.h"
#include "Soak/caller_load.h"
#include "Soak/disturbance_schedule.h"
#include "Soak/fault_schedule.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>

using namespace azurehaven;
using namespace azurehaven::platform;

namespace {

constexpr const char *Usage =
    R"(Injects random faults into real entry processes and checks the promises.

Usage:
  azurehaven-platform-soak play --product=FILE [options]
  azurehaven-platform-soak play --help

Options:
  --product=FILE  The program azurehaven
  --previous=FILE An earlier build of it, which each VM runs until its first
                  restart; a roll-out is ordered at the start
  --seed=N        What the faults are drawn from [default: 1]
  --faults=N      How many faults [default: 30]
  --net=N         Third number of the loopback addresses, 1 to 254 [default: 1]
  --logs=FOLDER   Where the processes' logs go [default: soak-logs]
)";

constexpr std::size_t Callers = 32;
/// Bound from the end of the last fault until all requests are served again
/// (`recovery_s`).
constexpr milliseconds RecoveryBound{15000};
constexpr milliseconds RetryInterval{200};
/// Ends while the VMs are restarted one after the other.
constexpr milliseconds RolloutTimeLimit{8000};
/// The entry processes are documented to serve requests only some seconds after
/// their start.
constexpr milliseconds StartTimeout{14000};

/// Whether every entry process serves every kind of request before the
/// deadline.
bool serveAll(caller_load &Load, steady_time GiveUpAt) {
  for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
    for (const auto Kind :
         {request_kind::Lookup, request_kind::Booking, request_kind::Stream}) {
      while (true) {
        if (Load.isServed(Entry, Kind))
          break;
        if (std::chrono::steady_clock::now() >= GiveUpAt)
          return false;
        std::this_thread::sleep_for(RetryInterval);
      }
    }
  return true;
}

bool isRolloutDecided(soak_cluster &Cluster) {
  const std::string State = Cluster.rolloutState();
  return State == "completed" || State == "rolled_back";
}

struct play_settings {
  std::uint64_t Seed = 0;
  std::size_t Faults = 0;
  bool HasRollout = false;
};

status play(soak_cluster &Cluster, const play_settings &Settings,
            soak_history &History, std::vector<std::string> &Violations) {
  const std::uint64_t Seed = Settings.Seed;
  caller_load Probe(Cluster, Seed * 1000 + 999);
  if (!serveAll(Probe, std::chrono::steady_clock::now() + StartTimeout))
    return error{error_code::Unavailable,
                 "requests are not served after the start"};
  caller_load Load(Cluster, Seed);
  fault_schedule Schedule(Cluster, Seed);
  disturbance_schedule Disturbances(Cluster, Seed);
  Load.start(Callers);
  Disturbances.start();
  if (Settings.HasRollout)
    Cluster.orderRollout(RolloutTimeLimit);
  TRY_STATUS(Schedule.play(Settings.Faults));
  Disturbances.keepToSilence();
  if (!serveAll(Probe, std::chrono::steady_clock::now() + RecoveryBound))
    Violations.push_back("requests are not served again after the last fault");
  TRY_STATUS(Schedule.restartOneByOne());
  Disturbances.stop();
  if (Settings.HasRollout && !isRolloutDecided(Cluster))
    Violations.push_back("the roll-out has no outcome");
  History.Records = Load.stop();
  TRY_STATUS(Schedule.stopAll());
  Schedule.recordEvents(History);
  return success{};
}

std::map<std::string, bill> readLedger(soak_cluster &Cluster) {
  std::vector<store_item> Items;
  for (const auto &[Key, Value] : Cluster.Store.values(BillSegmentPrefix)) {
    store_item Item;
    Item.Key = Key;
    Item.Value = Value;
    Items.push_back(std::move(Item));
  }
  return mergeBillSegments(Items);
}

void printSummary(const soak_history &History) {
  std::map<int, std::size_t> ByStatus;
  for (const auto &Record : History.Records)
    ++ByStatus[Record.Status];
  std::cout << History.Records.size() << " requests;";
  for (const auto &[Status, Count] : ByStatus)
    std::cout << " " << Status << ": " << Count;
  std::cout << "; bills: " << History.Ledger.size() << std::endl;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  command_line Line;
  const std::vector<std::string> Arguments(Values + std::min(Count, 2),
                                           Values + Count);
  if (auto Status = Line.parse(Usage, "play", Arguments))
    return *Status;
  const auto Seed = Line.integer("--seed", 0, 1'000'000'000);
  const auto Faults = Line.integer("--faults", 0, 100'000);
  const auto Net = Line.integer("--net", 1, 254);
  for (const auto *Number : {&Seed, &Faults, &Net})
    if (isError(*Number)) {
      std::cerr << errorOf(*Number).Message << "\n";
      return ExitUsage;
    }
  const std::string Folder = std::filesystem::absolute(*Line.text("--logs"));
  std::filesystem::create_directories(Folder);
  const auto Previous = Line.text("--previous");
  auto Created = soak_cluster::create(
      {std::filesystem::absolute(*Line.text("--product")),
       Previous ? std::filesystem::absolute(*Previous).string() : "", Folder,
       static_cast<int>(valueOf(Net))});
  if (isError(Created)) {
    std::cerr << errorOf(Created).Message << "\n";
    return ExitFailure;
  }
  soak_cluster &Cluster = *valueOf(Created);
  soak_history History;
  std::vector<std::string> Violations;
  const auto Played =
      play(Cluster,
           {static_cast<std::uint64_t>(valueOf(Seed)),
            static_cast<std::size_t>(valueOf(Faults)), Previous.has_value()},
           History, Violations);
  if (isError(Played))
    Violations.push_back(errorOf(Played).Message);
  History.HasPreviousBuild = Previous.has_value();
  History.Runs = Cluster.Runs.all();
  History.Arrivals = Cluster.Runs.arrivals();
  History.FaultIntervals = Cluster.FaultLog.all();
  History.Standstills = Cluster.StandstillLog.all();
  History.IdleLimits = Cluster.IdleLimits.all();
  History.Ledger = readLedger(Cluster);
  printSummary(History);
  for (auto &Violation : findBrokenPromises(History))
    Violations.push_back(std::move(Violation));
  for (const auto &Violation : Violations)
    std::cout << "BROKEN " << Violation << "\n";
  std::cout << "seed " << valueOf(Seed) << ": " << Violations.size()
            << " promises broken" << std::endl;
  return Violations.empty() ? ExitSuccess : ExitFailure;
}
