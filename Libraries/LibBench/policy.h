#pragma once

#include "LibBench/virtual_engine.h"
#include "LibRouting/router.h"

namespace azurehaven::bench {

/// One request of the bench, as the policies see it.
struct bench_request {
  std::size_t Index = 0;
  std::size_t Vm = 0;
  class_id Class;
  client_account_id Account;
  std::uint64_t Fingerprint = 0;
  double Tokens = 0;
  steady_time ArrivedAt;
};

/// Where a baseline sends a request.
struct placement {
  version_id Version;
  std::size_t EngineIndex = 0;
  /// Escalate to EscalationVersion unless the response's confidence
  /// reaches this.
  std::optional<double> MinimumConfidence;
  version_id EscalationVersion;
};

/// What a baseline may look at.
struct bench_view {
  const workload *Workload = nullptr;
  const std::vector<virtual_engine> *Engines = nullptr;
  /// Loads as last reported.
  const std::vector<unsigned> *ReportedLoads = nullptr;
  /// Versions that are bad now; for the oracle only.
  const std::set<version_id> *BadVersions = nullptr;
};

/// A baseline that places a request at once, without queues of its own.
class baseline_policy {
public:
  virtual ~baseline_policy() = default;
  virtual std::optional<placement> place(const bench_request &Request,
                                         const bench_view &View) = 0;
  /// The engine for an escalated request.
  virtual std::size_t chooseEngine(const version_id &Version,
                                   const bench_view &View) = 0;
};

/// Names: round-robin, least-loaded, largest, static-cascade, oracle.
std::unique_ptr<baseline_policy> makeBaseline(const std::string &Name);

} // namespace azurehaven::bench
