#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace azurehaven {

/// A change of what this VM believes about its path to a service, with the
/// evidence.
struct path_change {
  enum class direction { Lost, Regained };
  direction Direction = direction::Lost;
  /// Endpoints that could not be connected to, or that could again.
  std::vector<endpoint_id> Endpoints;
  /// For a loss: a VM that reached the service meanwhile, and how long ago.
  vm_id Witness;
  milliseconds WitnessAge{0};
};

/// What was last received from a service.
struct service_contact {
  steady_time At;
  /// Of the process start that sent it; nullopt from a VM of an earlier build,
  /// which names the service only.
  std::optional<std::uint64_t> StartHash;
};

/// A short name for a process start in notices, the same on every VM.
std::uint64_t startHashOf(const endpoint_id &ProcessStart);

/// Tells a lost path to the endpoints of a service from endpoints that are
/// gone: several process starts can't be connected to, while another VM still
/// gets responses from one of them. Not thread-safe.
class service_paths {
public:
  /// Records that a process start, see startHashOf(), has sent something on any
  /// connection.
  void onReceived(const service_id &Service, std::uint64_t StartHash,
                  steady_time Now);
  /// Records that a new connection to an endpoint was made.
  void onConnected(const service_id &Service, steady_time Now);
  /// Records that a connection to a process start could not be made.
  /// EndpointCount: endpoints of the service. Returns the change if the path is
  /// lost.
  std::optional<path_change> onUnreachable(const service_id &Service,
                                           const endpoint_id &ProcessStart,
                                           std::size_t EndpointCount,
                                           steady_time Now);
  /// The same for a process start that was connected to and did not respond to
  /// a question from StartedAt on. It may stand still, so that only what
  /// another VM has received from it meanwhile shows that the path is lost.
  std::optional<path_change> onUnanswered(const service_id &Service,
                                          const endpoint_id &ProcessStart,
                                          std::size_t EndpointCount,
                                          steady_time StartedAt,
                                          steady_time Now);
  /// Records what another VM has last received from the service.
  void onPeerReached(const vm_id &Vm, const service_id &Service,
                     const service_contact &Contact);
  /// Returns the change if what other VMs have received since shows that the
  /// path is lost.
  std::optional<path_change> review(const service_id &Service,
                                    std::size_t EndpointCount, steady_time Now);
  /// Services of which some process starts can't be connected to.
  std::vector<service_id> suspectedServices() const;
  /// Records the result of a connection that was made to find out whether a
  /// lost path is back. Returns the change if it is.
  std::optional<path_change> onProbed(const service_id &Service,
                                      const endpoint_id &Endpoint,
                                      bool IsReachable);

  bool isLost(const service_id &Service) const;
  /// When the path was lost; nullopt if it is not.
  std::optional<steady_time> lostSince(const service_id &Service) const;
  std::vector<service_id> lostServices() const;
  /// Whether the VM has received something from the service lately.
  bool isReachedBy(const vm_id &Vm, const service_id &Service,
                   steady_time Now) const;
  /// When this VM last received something from the service.
  steady_time lastReceived(const service_id &Service) const;
  /// When any VM last received something from the service, as far as known.
  steady_time lastReceivedByAny(const service_id &Service) const;
  /// What was last received from each service.
  std::map<service_id, service_contact> lastContacts() const;

private:
  /// Connections to a process start that could not be made, or the latest
  /// question that it has not answered.
  struct failed_contacts {
    steady_time FirstAt;
    steady_time LastAt;
    bool WasConnected = false;
  };
  struct peer_sighting {
    vm_id Vm;
    steady_time At;
  };

  struct path_state {
    service_contact LastContact;
    /// Process starts that could not be connected to since the last connection.
    std::map<endpoint_id, failed_contacts> Unreachable;
    std::map<vm_id, steady_time> PeerReachedAt;
    /// By process start: the latest that another VM has received from it.
    std::map<std::uint64_t, peer_sighting> PeerSightings;
    /// The latest that a VM of an earlier build has received.
    std::optional<peer_sighting> UnnamedSighting;
    std::optional<steady_time> LostSince;
    /// Endpoints that probes have reached, one after the other.
    std::vector<endpoint_id> Probed;

    /// Whether nothing has come from the service since connections could not be
    /// made.
    bool isSilent() const;
    /// Another VM that received something from an unreachable process start
    /// after this VM could not connect to it, or while it did not respond.
    std::optional<peer_sighting> witness(steady_time Now) const;
    void expire(steady_time Now);
  };

  std::map<service_id, path_state> Paths;
};

} // namespace azurehaven
