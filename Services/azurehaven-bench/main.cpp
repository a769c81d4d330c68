#include "LibBench/policy.h"
#include "LibBench/policy_bench.h"
#include "LibBench/proxy_bench.h"
#include "LibBench/scaling_bench.h"
#include "LibClient/command_line.h"

#include <cstdio>
#include <iostream>
#include <sstream>

using namespace azurehaven;
using namespace azurehaven::bench;

namespace {

constexpr const char *Usage =
    R"(Benchmarks the routing policies in virtual time, a running entry process, or
the growth of state, messages and processor time with the fleet.

Usage:
  azurehaven-bench policy [options]
  azurehaven-bench proxy --entry=IP:PORT --engine=IP:PORT --version=NAME
                   --key=KEY --class=NAME [options]
  azurehaven-bench slopes
  azurehaven-bench (-h | --help)

Options:
  --workload=NAME  kairns or cwtch [default: kairns]
  --policy=NAME    azurehaven, round-robin, least-loaded, largest,
                   static-cascade, oracle, or all [default: all]
  --case=NAME      steady, flash, loss, slightly-bad, very-bad, half-roll-out,
                   flood, crash-causing, late-reports, or all [default: steady]
  --seed=N         First seed [default: 1]
  --seeds=N        Number of consecutive seeds to run [default: 1]
  --vms=N          Entry VMs [default: 5]
  --unpooled       VMs do not exchange their ratings
  --json           Print one JSON object per line
  --entry=IP:PORT  An entry VM
  --engine=IP:PORT An engine that this entry VM uses
  --version=NAME   The model version to request from the engine
  --key=KEY        The key of an account
  --class=NAME     A work class
  --requests=N     Maximum requests per round [default: 600]
  --streams=LIST   Concurrent streams, a run for each number [default: 1,50,300]
)";

const std::vector<std::string> AllPolicies = {"azurehaven",     "round-robin",
                                              "least-loaded",   "largest",
                                              "static-cascade", "oracle"};

void printHeader() {
  std::printf("%-14s %-14s %4s %8s %7s %7s %6s %6s %6s %7s %s\n", "case",
              "policy", "seed", "cost", "p95 ms", "refused", "bad", "false",
              "broken", "others", "quality by class (* below target)");
}

void printRow(bench_case Case, const std::string &Policy, std::uint64_t Seed,
              const bench_outcome &Outcome) {
  std::printf("%-14s %-14s %4llu %8.1f %7.0f %7zu %6zu %6zu %6zu %7.3f ",
              nameOf(Case), Policy.c_str(),
              static_cast<unsigned long long>(Seed), Outcome.CostPerRequest,
              Outcome.FirstTokenP95Ms, Outcome.Refused, Outcome.BadServed,
              Outcome.FalseAlarms, Outcome.EngineCrashes,
              Outcome.OtherAccountsOnTime);
  for (const auto &Class : Outcome.Classes)
    std::printf("%s %.3f%s  ", Class.Class.text().c_str(), Class.Quality,
                Class.Quality < Class.QualityTarget ? "*" : "");
  std::printf("\n");
}

int runProxy(const command_line &Line) {
  proxy_bench_settings Settings;
  for (auto [Flag, Target] : {std::pair("--entry", &Settings.Entry),
                              std::pair("--engine", &Settings.Engine)}) {
    auto Address = parseNetworkAddress(*Line.text(Flag));
    if (isError(Address)) {
      std::cerr << Flag << ": " << errorOf(Address).Message << "\n";
      return ExitUsage;
    }
    *Target = valueOf(Address);
  }
  auto Requests = Line.integer("--requests", 1, 1000000);
  if (isError(Requests)) {
    std::cerr << errorOf(Requests).Message << "\n";
    return ExitUsage;
  }
  Settings.Concurrencies.clear();
  std::stringstream Streams(*Line.text("--streams"));
  for (std::string Item; std::getline(Streams, Item, ',');)
    Settings.Concurrencies.push_back(std::strtoul(Item.c_str(), nullptr, 10));
  Settings.MaximumRequestsPerRound =
      static_cast<std::size_t>(valueOf(Requests));
  Settings.Version = *Line.text("--version");
  Settings.Key = *Line.text("--key");
  Settings.Class = *Line.text("--class");
  for (const auto &Row : runProxyBench(Settings))
    std::cout << Row.dump() << "\n";
  return ExitSuccess;
}

int runPolicy(const command_line &Line) {
  const std::string Workload = *Line.text("--workload");
  if (Workload != "kairns" && Workload != "cwtch") {
    std::cerr << "--workload: \"" << Workload
              << "\"; accepted: kairns, cwtch\n";
    return ExitUsage;
  }
  std::vector<bench_case> Cases = allBenchCases();
  if (*Line.text("--case") != "all") {
    auto Case = parseBenchCase(*Line.text("--case"));
    if (isError(Case)) {
      std::cerr << errorOf(Case).Message << "\n";
      return ExitUsage;
    }
    Cases = {valueOf(Case)};
  }
  std::vector<std::string> Policies = AllPolicies;
  if (const std::string Wanted = *Line.text("--policy"); Wanted != "all") {
    if (Wanted != "azurehaven" && !makeBaseline(Wanted)) {
      std::cerr << "--policy: \"" << Wanted << "\"; see --help\n";
      return ExitUsage;
    }
    Policies = {Wanted};
  }
  auto Seed = Line.integer("--seed", 0, 1000000);
  auto Seeds = Line.integer("--seeds", 1, 1000);
  auto Vms = Line.integer("--vms", 1, 1000);
  for (const auto *Number : {&Seed, &Seeds, &Vms})
    if (isError(*Number)) {
      std::cerr << errorOf(*Number).Message << "\n";
      return ExitUsage;
    }
  const bool AsJson = Line.flag("--json");
  if (!AsJson)
    printHeader();
  for (bench_case Case : Cases)
    for (const auto &Policy : Policies)
      for (std::int64_t SeedOffset = 0; SeedOffset < valueOf(Seeds);
           ++SeedOffset) {
        bench_settings Settings;
        Settings.Case = Case;
        Settings.Policy = Policy;
        Settings.Seed = static_cast<std::uint64_t>(valueOf(Seed) + SeedOffset);
        Settings.VmCount = static_cast<std::size_t>(valueOf(Vms));
        Settings.RatingsArePooled = !Line.flag("--unpooled");
        const bench_outcome Outcome = runPolicyBench(
            Workload == "kairns" ? kairnsWorkload() : cwtchWorkload(),
            Settings);
        if (!AsJson) {
          printRow(Case, Policy, Settings.Seed, Outcome);
          continue;
        }
        auto Document = encodeOutcome(Outcome);
        Document["case"] = nameOf(Case);
        Document["policy"] = Policy;
        Document["seed"] = Settings.Seed;
        Document["workload"] = Workload;
        std::cout << Document.dump() << "\n";
      }
  return ExitSuccess;
}

} // namespace

int main(int Count, char **Values) {
  command_line Line;
  const std::string Command = Count > 1 ? Values[1] : "";
  const std::vector<std::string> Arguments(Values + std::min(Count, 2),
                                           Values + Count);
  if (auto Status = Line.parse(Usage, Command, Arguments))
    return *Status;
  if (Line.flag("slopes")) {
    std::cout << runScalingBench().dump(2) << "\n";
    return ExitSuccess;
  }
  return Line.flag("proxy") ? runProxy(Line) : runPolicy(Line);
}
