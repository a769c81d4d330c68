#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace azurehaven {

/// What is counted of one release on one route.
struct release_counts {
  std::uint32_t Requests = 0;
  std::uint32_t Failures = 0;
  /// Several times slower than the route's usual pace.
  std::uint32_t Slow = 0;

  release_counts &operator+=(const release_counts &Other);
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

/// Outcomes of requests by release and route, of this VM and of the others.
/// Each VM's counts are cumulative, so that a repeated or late report does no
/// harm. Not thread-safe.
class release_statistics {
public:
  void addLocal(const release_key &Key, const release_counts &Counts);
  /// The counts of another VM since its start.
  void mergeRemote(const vm_id &Origin, std::uint64_t Incarnation,
                   const release_report &Report);
  std::vector<release_report> localReports() const;

  /// Over all routes of a release, or over all other releases of the service.
  release_counts countsOf(const service_id &Service,
                          const std::string &Release) const;
  /// Whether the release does worse than the service's others, on one route or
  /// in all.
  bool isWorse(const service_id &Service, const std::string &Release) const;

private:
  using origin_key = std::tuple<vm_id, std::uint64_t, release_key>;
  std::map<release_key, release_counts> totals(const service_id &Service) const;

  std::map<release_key, release_counts> Local;
  std::map<origin_key, release_counts> Remote;
};

/// Whether a share of bad outcomes is beyond what chance would make of the
/// usual share. Source: one-sided test of a binomial share, normal
/// approximation.
bool isSignificantlyAbove(std::uint32_t Bad, std::uint32_t Total,
                          double BaselineRate);

} // namespace azurehaven
