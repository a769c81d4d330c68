#include "LibBench/bench_case.h"

namespace azurehaven::bench {

namespace {

struct case_name {
  bench_case Case;
  const char *Name;
};

constexpr case_name CaseNames[] = {{bench_case::Steady, "steady"},
                                   {bench_case::Flash, "flash"},
                                   {bench_case::Loss, "loss"},
                                   {bench_case::SlightlyBad, "slightly-bad"},
                                   {bench_case::VeryBad, "very-bad"},
                                   {bench_case::HalfRollOut, "half-roll-out"},
                                   {bench_case::Flood, "flood"},
                                   {bench_case::CrashCausing, "crash-causing"},
                                   {bench_case::LateReports, "late-reports"}};

} // namespace

result<bench_case> parseBenchCase(const std::string &Name) {
  std::string Known;
  for (const auto &Entry : CaseNames) {
    if (Name == Entry.Name)
      return Entry.Case;
    Known += std::string(Known.empty() ? "" : ", ") + Entry.Name;
  }
  return error{error_code::InvalidInput,
               "--case: \"" + Name + "\"; accepted: " + Known};
}

const char *nameOf(bench_case Case) {
  for (const auto &Entry : CaseNames)
    if (Entry.Case == Case)
      return Entry.Name;
  return "unknown";
}

std::vector<bench_case> allBenchCases() {
  std::vector<bench_case> All;
  for (const auto &Entry : CaseNames)
    All.push_back(Entry.Case);
  return All;
}

} // namespace azurehaven::bench
