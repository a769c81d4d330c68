#pragma once

#include "LibDispatch/brittle_admission.h"
#include "LibDispatch/fleet_rate_limit.h"
#include "LibTypes/ids.h"
#include "LibTypes/network_address.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurehaven {

/// The registration data that an endpoint publishes in the store.
struct endpoint_descriptor {
  endpoint_id Id;
  service_id Service;
  network_address Address;
  failure_domain_id Domain;
  /// Version of the endpoint's software or weights, which a roll-out replaces.
  std::string Release;
  std::uint32_t Slots = 1;
  bool IsLeaving = false;
  /// Remaining time for which it is slow after its start.
  milliseconds WarmUpLeft{0};
  /// Distinguishes process starts under the same id.
  std::int64_t Incarnation = 0;
};

/// A model engine's report on its requests; a few hundred milliseconds old on
/// arrival.
struct engine_report {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint64_t CacheUsed = 0;
  std::uint64_t CacheTotal = 0;
  /// The process start that made the report, if it names one.
  std::optional<std::int64_t> Incarnation;
  bool IsLeaving = false;
  /// Number of events generated so far for each running request.
  std::map<request_id, std::uint64_t> EventsByRequest;
};

/// The load that an endpoint reported in its latest response.
struct reported_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  steady_time At;
};

/// An endpoint with its load and health as seen by this VM.
struct endpoint_record {
  endpoint_descriptor Descriptor;
  /// The endpoint's name in the notices between VMs.
  std::uint64_t Hash = 0;
  /// The name of its process start in the notices.
  std::uint64_t StartHash = 0;
  /// Requests of this VM that run or queue on the endpoint.
  std::uint32_t InFlight = 0;
  /// Prompt work of this VM's requests that are still waiting for their first
  /// event, in tokens weighted by the size of the model.
  double PromptWork = 0;
  /// The same two values for all other VMs, from their latest reports.
  std::uint32_t PeersInFlight = 0;
  double PeersPromptWork = 0;
  /// When this VM last sent a prompt with each shared prefix; see
  /// sharedPrefixKey().
  std::map<std::string, steady_time> SentPrefixes;
  std::optional<reported_load> Load;
  /// When the last bytes of any response from the endpoint arrived.
  steady_time LastReceivedAt;
  /// When a response from the endpoint was last truncated or missing.
  steady_time LastCrash;
  /// The latest crash that a VM has recorded and none has refuted; see
  /// crash_refutation.
  std::optional<steady_time> AllegedCrashAt;
  /// Until when the endpoint has asked this VM to send nothing; see
  /// recordShedding().
  steady_time ShedUntil;
  /// The limit that it names on requests from all VMs together.
  fleet_rate_limit RateLimit;
  /// Used while the endpoints of its service are brittle.
  brittle_admission Brittle;
  /// Number of consecutive failures, and the end of the resulting ejection.
  std::uint32_t ConsecutiveFailures = 0;
  steady_time EjectedUntil;
  /// Exponential moving average of the failures of recent requests, 0 to 1.
  double FailureRate = 0;
  /// The report of the latest inspection; null if that failed.
  std::shared_ptr<const engine_report> Report;
  /// When the latest inspection ended, successfully or not.
  steady_time ReportAt;
  bool IsBeingInspected = false;
  /// Number of consecutive failed inspections, without bytes between them, and
  /// when the first of them began.
  unsigned FailedInspections = 0;
  steady_time UnansweredSince;
  /// When this process start has last reported.
  steady_time ReportedAt;
  /// When a later process start has reported at its address.
  steady_time SuccessorSeenAt;
  /// Since when every inspection found that nothing listens at its address.
  std::optional<steady_time> RefusedSince;
  /// Set if the endpoint's entry disappeared during an outage of the store.
  std::optional<steady_time> RemoveAt;
  /// Whether a malformed header field of its responses has been logged.
  bool HasLoggedMalformedField = false;

  /// Whether it may be sent a new request.
  bool isUsable(steady_time Now) const;
};

using endpoint_list = std::vector<std::shared_ptr<endpoint_record>>;

/// A process start of an endpoint.
struct endpoint_start {
  endpoint_id Endpoint;
  std::int64_t Incarnation = 0;
};

/// Names a process start in crash records.
endpoint_id processStartId(const endpoint_descriptor &Descriptor);

/// A short name for an endpoint, the same on every VM.
std::uint64_t endpointHash(const endpoint_id &Id);

/// The endpoints that are registered in the store. Not thread-safe.
class endpoint_registry {
public:
  void put(const endpoint_descriptor &Descriptor);
  void remove(const endpoint_id &Id);
  /// Removes the endpoint at this time unless it is put again before then.
  void scheduleRemoval(const endpoint_id &Id, steady_time At);
  /// Records that a process start has said that it is leaving. Its entries no
  /// longer count, only those of a later start. Returns whether that is news.
  bool markLeaving(const endpoint_start &Start, steady_time Now);
  /// The process starts that are leaving and whose endpoints are still listed.
  std::vector<endpoint_start> leavingStarts() const;
  /// Removes the endpoints whose removal time has passed; returns their ids.
  std::vector<endpoint_id> removeExpired(steady_time Now);

  /// Shared, so that a request in flight can still update the counters of a
  /// removed endpoint.
  std::shared_ptr<endpoint_record> find(const endpoint_id &Id) const;
  /// The endpoint that runs this process start, see processStartId(); null if
  /// it is not registered.
  std::shared_ptr<endpoint_record>
  findProcessStart(const endpoint_id &Start) const;
  const endpoint_list &endpointsOf(const service_id &Service) const;
  /// Whether a later process start, under any id, is listed at the address.
  bool isReplacedAt(const network_address &Address,
                    std::int64_t Incarnation) const;
  const std::map<endpoint_id, std::shared_ptr<endpoint_record>> &all() const {
    return ById;
  }
  std::size_t size() const { return ById.size(); }

private:
  struct leaving_start {
    std::int64_t Incarnation = 0;
    steady_time MarkedAt;
  };
  bool isMarkedLeaving(const endpoint_descriptor &Descriptor) const;
  void rebuildIndexes();

  std::map<endpoint_id, leaving_start> LeavingStarts;

  std::map<endpoint_id, std::shared_ptr<endpoint_record>> ById;
  std::map<service_id, endpoint_list> ByService;
  std::map<network_address, std::int64_t> LatestIncarnationAt;
};

} // namespace azurehaven
