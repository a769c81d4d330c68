#pragma once

#include "LibMembership/vm_list.h"
#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurehaven {

/// What an endpoint says of itself; it lags behind the truth.
struct endpoint_report {
  std::set<version_id> Versions;
  std::uint32_t Slots = 1;
  /// Requests running and queued there, of all senders.
  std::uint32_t Load = 0;
  bool IsLeaving = false;
  /// Changes when the endpoint restarts.
  std::string BootId;
};

enum class attempt_outcome {
  Answered,
  /// No connection, a cut or a malformed answer.
  Failed,
  /// The endpoint itself refused the work as busy or leaving.
  Refused,
  Cancelled,
};

struct chosen_endpoint {
  endpoint_id Id;
  network_address Address;
};

/// The endpoints known to this VM, their load as best it can be told, and who
/// is kept out of service for a while. Not thread-safe.
class endpoint_table {
public:
  explicit endpoint_table(std::uint64_t Seed) : Random(Seed) {}

  /// Takes over the platform's list; unlisted endpoints are forgotten.
  void applyList(const std::vector<listed_vm> &List);
  /// A report that was asked for at RequestedAt.
  void updateReport(const endpoint_id &Id, const endpoint_report &Report,
                    steady_time RequestedAt);
  /// The endpoint did not answer a question for its report.
  void recordPollFailure(const endpoint_id &Id, steady_time Now);
  /// The endpoint broke down: it gets no work until it has answered a question
  /// that is asked after Now.
  void markCrashed(const endpoint_id &Id, steady_time Now);
  /// A leaving endpoint gets no new work from now on.
  void markLeaving(const endpoint_id &Id);

  /// The endpoint for one more request, or nullopt. AffinityKey keeps requests
  /// with a common prompt prefix together as long as the load allows.
  std::optional<chosen_endpoint> choose(const version_id &Version,
                                        std::uint64_t AffinityKey,
                                        const std::set<endpoint_id> &Excluded,
                                        bool IsSuspectRequest, steady_time Now);
  std::optional<chosen_endpoint>
  chooseService(const service_id &Service,
                const std::set<endpoint_id> &Excluded, steady_time Now);

  void attemptStarted(const endpoint_id &Id, bool IsSuspectRequest);
  void attemptFinished(const endpoint_id &Id, attempt_outcome Outcome,
                       std::optional<milliseconds> TimeToFirstToken,
                       bool IsSuspectRequest, steady_time Now);

  /// How many entry VMs share the endpoints.
  void setEntryCount(std::size_t Count) { EntryCount = Count; }
  /// Requests that the usable endpoints of a version run at a time.
  std::uint32_t slotsOf(const version_id &Version, steady_time Now) const;
  bool hasUsableEndpoint(const version_id &Version, steady_time Now) const;
  std::string bootIdOf(const endpoint_id &Id) const;
  /// Endpoints whose report is older than MaximumAge.
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
    bool IsLeaving = false;
    steady_time ReportedAt{};
    std::uint32_t InFlight = 0;
    /// Own starts less own ends since the report was asked for.
    std::int64_t InFlightChangeSinceReport = 0;
    std::uint32_t SuspectsInFlight = 0;
    double MeanFirstTokenMs = 0;
    std::uint64_t FirstTokenSamples = 0;
    std::uint32_t ConsecutiveFailures = 0;
    std::uint32_t ConsecutiveEjections = 0;
    steady_time EjectedUntil{};
  };

  bool isUsable(const endpoint &Endpoint, steady_time Now) const;
  bool serves(const endpoint &Endpoint, const version_id &Version) const;
  double loadOf(const endpoint &Endpoint) const;
  std::vector<endpoint *> usableEndpointsOf(const version_id &Version,
                                            steady_time Now);
  endpoint *chooseLeastLoaded(const std::vector<endpoint *> &Candidates);
  endpoint *chooseByAffinity(const std::vector<endpoint *> &Candidates,
                             std::uint64_t AffinityKey);
  void ejectIfUnhealthy(endpoint &Endpoint, steady_time Now);
  /// Whether both can serve the same requests.
  bool areInterchangeable(const endpoint &Left, const endpoint &Right) const;
  bool isLatencyOutlier(const endpoint &Endpoint) const;
  bool mayEject(const endpoint &Endpoint, steady_time Now) const;

  std::map<endpoint_id, endpoint> Endpoints;
  std::size_t EntryCount = 1;
  std::mt19937_64 Random;
};

} // namespace azurehaven
