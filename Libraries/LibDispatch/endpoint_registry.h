#pragma once

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

/// What an endpoint says of itself.
struct endpoint_descriptor {
  endpoint_id Id;
  service_id Service;
  network_address Address;
  failure_domain_id Domain;
  /// Of the endpoint's software or weights: what a roll-out replaces.
  std::string Release;
  std::uint32_t Slots = 1;
  bool IsLeaving = false;
  /// How much longer it is slow after its start.
  milliseconds WarmUpLeft{0};
  /// Differs between two starts under one id.
  std::int64_t Incarnation = 0;
};

/// What a model engine says of its own work; some hundred milliseconds old.
struct engine_report {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint64_t CacheUsed = 0;
  std::uint64_t CacheTotal = 0;
  /// Events made so far, for each running request.
  std::map<request_id, std::uint64_t> EventsByRequest;
};

/// Load that an endpoint last reported in a response.
struct reported_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  steady_time At;
};

/// One endpoint with what this VM knows of its load and health.
struct endpoint_record {
  endpoint_descriptor Descriptor;
  /// Requests of this VM that it runs or that wait for it.
  std::uint32_t InFlight = 0;
  /// Prompt work that this VM has sent and whose first event is still due, in
  /// tokens weighted by the size of the model.
  double PromptWork = 0;
  /// The same of all other VMs, by their last word.
  std::uint32_t PeersInFlight = 0;
  double PeersPromptWork = 0;
  /// When this VM last sent a prompt that begins with each part and model.
  std::map<std::string, steady_time> SentPrefixes;
  std::optional<reported_load> Load;
  /// When the last bytes of any response came from it.
  steady_time LastReceivedAt;
  /// When a request on it last broke off.
  steady_time LastCrash;
  /// Failures in a row, and until when it gets no new work after them.
  std::uint32_t ConsecutiveFailures = 0;
  steady_time EjectedUntil;
  /// Moving averages of the outcome of recent requests.
  double FailureRate = 0;
  /// What the engine last said of its runs, and whether it is being asked.
  std::shared_ptr<const engine_report> Report;
  steady_time ReportAt;
  bool IsBeingInspected = false;
  unsigned FailedInspections = 0;
  /// Set where the entry has vanished while the store was away.
  std::optional<steady_time> RemoveAt;

  bool isUsable(steady_time Now) const {
    return !Descriptor.IsLeaving && Now >= EjectedUntil;
  }
};

/// The endpoints that the store lists. Not thread-safe.
class endpoint_registry {
public:
  void put(const endpoint_descriptor &Descriptor);
  void remove(const endpoint_id &Id);
  /// Takes the endpoint away at this time unless it is put again before.
  void scheduleRemoval(const endpoint_id &Id, steady_time At);
  /// Takes away what was due; returns the ids.
  std::vector<endpoint_id> removeExpired(steady_time Now);

  /// Shared, so that a request that is under way can still count itself off.
  std::shared_ptr<endpoint_record> find(const endpoint_id &Id) const;
  const std::vector<std::shared_ptr<endpoint_record>> &
  endpointsOf(const service_id &Service) const;
  std::vector<endpoint_id> ids() const;
  std::size_t size() const { return ById.size(); }

private:
  void rebuildServiceIndex();

  std::map<endpoint_id, std::shared_ptr<endpoint_record>> ById;
  std::map<service_id, std::vector<std::shared_ptr<endpoint_record>>> ByService;
};

} // namespace azurehaven
