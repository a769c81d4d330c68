#pragma once

#include "LibRollout/exposure_budget.h"
#include "LibRollout/release_evidence.h"
#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace azurehaven {

/// Request counts of one release on one route.
struct release_counts {
  /// Requests whose outcome is known.
  std::uint32_t Requests = 0;
  std::uint32_t Failures = 0;
  /// Requests several times slower than the route's latency baseline.
  std::uint32_t Slow = 0;
  /// All attempts that were sent, whatever became of them.
  std::uint32_t Attempts = 0;

  release_counts &operator+=(const release_counts &Other);
  bool operator==(const release_counts &) const = default;
};

struct release_key {
  service_id Service;
  std::string Release;
  std::string Route;

  auto operator<=>(const release_key &) const =
      default; // NOLINT(readability-identifier-naming)
};

struct release_report {
  release_key Key;
  release_counts Counts;
};

/// The counts of one service by release and route.
using service_totals = std::map<release_key, release_counts>;

/// Counts request outcomes by release and route, for this VM and for the
/// others. Each VM's counts are cumulative, so that duplicate and reordered
/// reports are harmless. Not thread-safe.
class release_statistics {
public:
  void addLocal(const release_key &Key, const release_counts &Counts);
  /// Replaces the counts of another VM since its start. Counts with fewer
  /// requests or attempts than the known ones are older and have no effect.
  void merge(const vm_id &Origin, std::uint64_t Incarnation,
             const release_report &Report);
  std::vector<release_report> localReports() const;

  /// The counts of a release, summed over all routes and VMs.
  release_counts countsOf(const service_id &Service,
                          const std::string &Release) const;
  /// The counts of a service, summed over all releases, routes and VMs.
  release_counts countsOf(const service_id &Service) const;
  /// Attempts that this VM has sent to the release and to all releases.
  exposure_counts localAttempts(const service_id &Service,
                                const std::string &Release) const;
  /// The counts of a service, summed over all VMs.
  service_totals totals(const service_id &Service) const;

  /// The outcomes of plain requests during roll-outs.
  release_evidence &evidence() { return Evidence; }
  const release_evidence &evidence() const { return Evidence; }

private:
  using origin_key = std::tuple<vm_id, std::uint64_t, release_key>;

  std::map<release_key, release_counts> Local;
  std::map<origin_key, release_counts> Remote;
  release_evidence Evidence;
};

} // namespace azurehaven
