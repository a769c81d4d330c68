#pragma once

#include "LibBench/virtual_engine.h"
#include "LibRouting/router.h"

namespace azurehaven::bench {

/// The properties of a request that a policy can read.
struct bench_request {
  std::size_t Index = 0;
  std::size_t Vm = 0;
  class_id Class;
  client_account_id Account;
  std::uint64_t Fingerprint = 0;
  double Tokens = 0;
  steady_time ArrivedAt;
};

/// Routing decision of a baseline policy.
struct placement {
  version_id Version;
  std::size_t EngineIndex = 0;
  /// Escalate to EscalationVersion unless the response's confidence
  /// reaches this.
  std::optional<double> MinimumConfidence;
  version_id EscalationVersion;
};

/// Simulation state that a baseline policy can read.
struct bench_view {
  const workload *Workload = nullptr;
  const std::vector<virtual_engine> *Engines = nullptr;
  /// Load of each engine in its last report.
  const std::vector<unsigned> *ReportedLoads = nullptr;
  /// Versions whose quality has dropped. Only the oracle reads them.
  const std::set<version_id> *DegradedVersions = nullptr;
};

/// A baseline that the router is compared with. Sends each request to an engine
/// immediately; has no admission queue.
class baseline_policy {
public:
  virtual ~baseline_policy() = default;
  virtual std::optional<placement> place(const bench_request &Request,
                                         const bench_view &View) = 0;
  /// Returns the index of an engine for Version, or the number of engines if
  /// none is available.
  virtual std::size_t chooseEngine(const version_id &Version,
                                   const bench_view &View) = 0;
};

/// Names: round-robin, least-loaded, largest, static-cascade, oracle. Returns
/// null for any other name.
std::unique_ptr<baseline_policy> makeBaseline(const std::string &Name);

} // namespace azurehaven::bench
