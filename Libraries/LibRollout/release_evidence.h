#pragma once

#include "LibRollout/outcome_histogram.h"
#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace azurehaven {

/// Whose outcomes are counted together.
struct evidence_key {
  service_id Service;
  std::string Release;
  std::string Route;
  /// Hash of the endpoint's id; see endpointHash().
  std::uint64_t Endpoint = 0;

  auto operator<=>(const evidence_key &) const =
      default; // NOLINT(readability-identifier-naming)
};

struct evidence_report {
  evidence_key Key;
  outcome_histogram Outcomes;
};

using evidence_totals = std::map<evidence_key, outcome_histogram>;

/// The outcomes of requests during roll-outs, by endpoint, of this VM and of
/// the others. Each VM's counts are cumulative, so that duplicate and reordered
/// reports are harmless. Not thread-safe.
class release_evidence {
public:
  void addFailure(const evidence_key &Key, steady_time Now);
  void addSuccess(const evidence_key &Key, double LatencyMs, steady_time Now);
  /// Replaces the counts of another VM since its start. Counts with fewer
  /// outcomes than the known ones are older and have no effect.
  void merge(const vm_id &Origin, std::uint64_t Incarnation,
             const evidence_report &Report, steady_time Now);
  /// Forgets counts that have not changed for long.
  void expire(steady_time Now);

  std::vector<evidence_report> localReports() const;
  /// The counts of a service, summed over all VMs.
  evidence_totals totals(const service_id &Service) const;

private:
  struct counted {
    outcome_histogram Outcomes;
    steady_time ChangedAt;
  };
  using origin_key = std::tuple<vm_id, std::uint64_t, evidence_key>;

  std::map<evidence_key, counted> Local;
  std::map<origin_key, counted> Remote;
  /// Of all VMs, so that a judgement needs not add them up.
  evidence_totals Totals;
};

} // namespace azurehaven
