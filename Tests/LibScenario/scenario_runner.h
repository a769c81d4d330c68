#pragma once

#include "LibClient/caller_client.h"
#include "LibScenario/background_load.h"
#include "LibScenario/scenario_world.h"
#include "LibScenario/statement.h"

#include <future>

namespace azurehaven {

/// Plays the statements of one scenario. Waits are for events, with a limit
/// far above what any of them takes.
class scenario_runner {
public:
  explicit scenario_runner(scenario_world &World);

  /// Returns the first failed statement's line and what was seen.
  status run(const std::vector<statement> &Statements);

private:
  struct change_result {
    int Status = 0;
    nlohmann::json Body;
  };
  using step = status (scenario_runner::*)(const statement &);

  status runOne(const statement &Statement);
  status startNodes(const statement &Statement);
  status signalNodes(const statement &Statement);
  status awaitExit(const statement &Statement);
  status setLink(const statement &Statement);
  status setSwitch(const statement &Statement);
  status setListed(const statement &Statement);
  status change(const statement &Statement);
  status ask(const statement &Statement);
  status book(const statement &Statement);
  status join(const statement &Statement);
  status load(const statement &Statement);
  status hold(const statement &Statement);
  status mark(const statement &Statement);
  status rate(const statement &Statement);
  status playFaults(const statement &Statement);

  status expect(const statement &Statement);
  status expectAnswer(const statement &Statement);
  status expectChange(const statement &Statement);
  status expectBills(const statement &Statement);
  status expectRuns(const statement &Statement);
  status expectServed(const statement &Statement);
  status expectEntry(const statement &Statement);
  status expectDiscovery(const statement &Statement);
  status expectLoad(const statement &Statement);
  status expectVersionState(const statement &Statement);
  status expectReaches(const statement &Statement);
  status expectEngine(const statement &Statement);
  status expectLeaving(const statement &Statement);
  status expectCrashCausing(const statement &Statement);
  status expectBreakdowns(const statement &Statement);

  status startEverything();
  result<nlohmann::json> anyOperatorGet(const std::string &Path);
  result<std::map<std::string, std::size_t>> billCounts();
  result<std::uint64_t> runsOf(const std::string &Request);
  result<std::uint64_t> servedBy(const std::string &Version);
  /// Polls until Check returns no error, or returns its last one.
  status eventually(const std::function<status()> &Check);
  void launch(const statement &Statement,
              std::function<caller_answer()> Request);
  nlohmann::json changeBody(const statement &Statement) const;

  scenario_world &World;
  std::unique_ptr<background_load> Load;
  std::vector<caller_answer> LoadAnswers;
  std::map<std::string, caller_answer> Answers;
  std::map<std::string, std::future<caller_answer>> Running;
  std::map<std::string, change_result> Changes;
  std::map<std::string, std::map<std::string, std::uint64_t>> Marks;
  std::vector<std::string> Bookings;
};

} // namespace azurehaven
