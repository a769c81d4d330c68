#pragma once

#include "LibDispatch/fleet_rate_limit.h"
#include "LibMembership/vm_list.h"
#include "LibRouting/attempt_report.h"
#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurehaven {

/// State that an endpoint reports of itself; outdated on arrival.
struct endpoint_report {
  std::set<version_id> Versions;
  std::uint32_t Slots = 1;
  /// Requests running and queued at the endpoint, from all entry VMs.
  std::uint32_t Load = 0;
  bool IsLeaving = false;
  /// Changes when the endpoint restarts.
  std::string BootId;
  /// Requests per second that it accepts from all entry VMs together; nullopt
  /// if it names no limit. Reports are not counted.
  std::optional<double> RequestsPerSecond;
};

struct chosen_endpoint {
  endpoint_id Id;
  network_address Address;
};

/// The endpoints known to this VM, with their estimated load, and outlier
/// ejection of failing and slow ones. Not thread-safe.
class endpoint_table {
public:
  explicit endpoint_table(std::uint64_t Seed, vm_id Self = {})
      : Self(std::move(Self)), Random(Seed) {}

  /// Applies the platform's VM list; endpoints that are not listed are removed.
  void applyList(const std::vector<listed_vm> &List);
  /// Stores a report that was requested at RequestedAt. Ignores it if the
  /// stored one was requested later, or if a poll failed or a crash was
  /// detected after RequestedAt.
  void updateReport(const endpoint_id &Id, const endpoint_report &Report,
                    steady_time RequestedAt);
  /// Counts a failed poll as a failure of the endpoint.
  void recordPollFailure(const endpoint_id &Id, steady_time Now);
  /// Marks an endpoint that crashed: it gets no requests until a report arrives
  /// that was requested at Now or later.
  void markCrashed(const endpoint_id &Id, steady_time Now);
  /// Shortest time after which an endpoint of the version that limits its rate
  /// takes a request of this VM; nullopt if there is none, or one takes it now.
  std::optional<milliseconds> timeUntilAdmission(const version_id &Version,
                                                 steady_time Now) const;
  /// Marks an endpoint as leaving: it gets no new requests.
  void markLeaving(const endpoint_id &Id);

  /// Chooses the endpoint of one more request, or nullopt if there is none.
  /// Requests with the same AffinityKey (common prompt prefix; 0 for none) go
  /// to the same endpoint as long as its load allows.
  std::optional<chosen_endpoint> choose(const version_id &Version,
                                        std::uint64_t AffinityKey,
                                        const std::set<endpoint_id> &Excluded,
                                        bool IsSuspectRequest, steady_time Now);
  std::optional<chosen_endpoint>
  chooseService(const service_id &Service,
                const std::set<endpoint_id> &Excluded, steady_time Now);

  void attemptStarted(const endpoint_id &Id, bool IsSuspectRequest,
                      steady_time Now);
  void attemptFinished(const endpoint_id &Id, const attempt_report &Report,
                       bool IsSuspectRequest, steady_time Now);

  /// Sets how many entry VMs share the endpoints.
  void setEntryCount(std::size_t Count) { EntryCount = Count; }
  /// Total number of slots of the usable endpoints of a version.
  std::uint32_t slotsOf(const version_id &Version, steady_time Now) const;
  bool hasUsableEndpoint(const version_id &Version, steady_time Now) const;
  /// Whether no endpoint has responded to its latest poll, so that this VM has
  /// probably lost its path to them. False if there is none.
  bool reachesNone() const;
  std::string bootIdOf(const endpoint_id &Id) const;
  /// Endpoints without a report, and those whose last report or failed poll is
  /// at least MaximumAge old.
  std::vector<chosen_endpoint> endpointsDueForPoll(milliseconds MaximumAge,
                                                   steady_time Now) const;
  /// One line for each endpoint, for operators.
  std::vector<std::string> describe(steady_time Now) const;
  std::size_t size() const { return Endpoints.size(); }

private:
  struct endpoint {
    listed_vm Listed;
    endpoint_report Report;
    bool HasReport = false;
    bool HasFailedPoll = false;
    bool IsLeaving = false;
    /// Reports requested earlier are ignored: the time at which the stored
    /// report was requested, or of a later failed poll or crash.
    steady_time ReportCutoff{};
    std::uint32_t InFlight = 0;
    /// Attempts started less attempts finished by this VM since the report was
    /// requested.
    std::int64_t InFlightChangeSinceReport = 0;
    std::uint32_t SuspectsInFlight = 0;
    double MeanFirstTokenMs = 0;
    std::uint64_t FirstTokenSamples = 0;
    std::uint32_t ConsecutiveFailures = 0;
    std::uint32_t ConsecutiveEjections = 0;
    steady_time EjectedUntil{};
    fleet_rate_limit RateLimit;
  };

  /// Whether it responds and takes requests, apart from a limit on their rate.
  bool isUsable(const endpoint &Endpoint, steady_time Now) const;
  bool isAdmitted(const endpoint &Endpoint, steady_time Now) const {
    return isUsable(Endpoint, Now) && Endpoint.RateLimit.allows(Now);
  }
  /// Sets this VM's part of the rate that the endpoint accepts.
  void updateRateShare(endpoint &Endpoint, steady_time Now) const;
  bool serves(const endpoint &Endpoint, const version_id &Version) const;
  /// Estimated requests at the endpoint, from all entry VMs, per slot.
  double loadOf(const endpoint &Endpoint) const;
  std::vector<endpoint *> admittedEndpointsOf(const version_id &Version,
                                              steady_time Now);
  /// Chooses at random among the endpoints whose load is within LoadTolerance
  /// of the lowest.
  endpoint *chooseLeastLoaded(const std::vector<endpoint *> &Candidates);
  /// Chooses by rendezvous hashing of AffinityKey; null if AffinityKey is 0 or
  /// all endpoints of the key are loaded above the bound.
  endpoint *chooseByAffinity(const std::vector<endpoint *> &Candidates,
                             std::uint64_t AffinityKey);
  void ejectIfUnhealthy(endpoint &Endpoint, steady_time Now);
  /// Whether both run the same plain service or have a model version in common.
  bool areInterchangeable(const endpoint &Left, const endpoint &Right) const;
  /// Median of the mean times to the first token of the other endpoints that
  /// are interchangeable with this one; nullopt if none has enough samples.
  std::optional<double> medianFirstTokenMs(const endpoint &Endpoint) const;
  bool isLatencyOutlier(const endpoint &Endpoint) const;
  static void addFirstTokenSample(endpoint &Endpoint, double Ms);
  /// Adds the time for which an attempt waited in vain for its first token.
  void addWaitInVain(endpoint &Endpoint, milliseconds Time) const;
  bool mayEject(const endpoint &Endpoint, steady_time Now) const;

  std::map<endpoint_id, endpoint> Endpoints;
  const vm_id Self;
  /// All listed entry VMs, including this one.
  std::set<vm_id> Entries;
  std::size_t EntryCount = 1;
  std::mt19937_64 Random;
};

} // namespace azurehaven
