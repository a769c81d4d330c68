#pragma once

#include "LibScenario/scenario_cluster.h"
#include "LibScenario/scenario_record.h"
#include "LibScenario/statement.h"

namespace azurehaven {

/// Checks the "expect" statements of one scenario.
class scenario_expectations {
public:
  scenario_expectations(scenario_cluster &Cluster, scenario_record &Record)
      : Cluster(Cluster), Record(Record) {}

  status check(const statement &Statement);

private:
  using expectation = status (scenario_expectations::*)(const statement &);

  status expectResponse(const statement &Statement);
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
  status expectEndpointState(const statement &Statement);
  status expectCrashCausing(const statement &Statement);
  status expectCrashes(const statement &Statement);

  scenario_cluster &Cluster;
  scenario_record &Record;
};

} // namespace azurehaven
