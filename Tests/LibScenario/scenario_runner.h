#pragma once

#include "LibClient/caller_client.h"
#include "LibScenario/background_load.h"
#include "LibScenario/scenario_expectations.h"
#include "LibScenario/statement.h"

#include <future>

namespace azurehaven {

/// Executes the statements of one scenario. Waits end with the awaited event;
/// their limit is far above the duration of any of them.
class scenario_runner {
public:
  explicit scenario_runner(scenario_cluster &Cluster);

  /// Stops at the first failed statement; the error has its line and the
  /// observed result.
  status run(const std::vector<statement> &Statements);

private:
  using step = status (scenario_runner::*)(const statement &);

  status runOne(const statement &Statement);
  status startEntries(const statement &Statement);
  status signalProcesses(const statement &Statement);
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
  status injectFaults(const statement &Statement);

  status expect(const statement &Statement);
  status startCluster();
  void launch(const statement &Statement,
              std::function<caller_response()> Request);
  /// The version that a word names: itself, or as version-of:NAME the one that
  /// gave the response NAME.
  std::string versionNamed(const std::string &Word) const;
  nlohmann::json changeBody(const statement &Statement) const;

  scenario_cluster &Cluster;
  std::unique_ptr<background_load> Load;
  scenario_record Record;
  scenario_expectations Expectations;
  std::map<std::string, std::future<caller_response>> Running;
};

} // namespace azurehaven
