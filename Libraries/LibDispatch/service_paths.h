#pragma once

#include "LibTypes/ids.h"
#include "LibTypes/units.h"

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

/// Tells a lost path to the endpoints of a service from endpoints that are
/// gone: several of them can't be connected to, while another VM gets responses
/// from the service. Not thread-safe.
class service_paths {
public:
  /// Records that an endpoint has sent something on any connection.
  void onReceived(const service_id &Service, steady_time Now);
  /// Records that a new connection to an endpoint was made.
  void onConnected(const service_id &Service, steady_time Now);
  /// Records that a connection to an endpoint could not be made. EndpointCount:
  /// endpoints of the service. Returns the change if the path is lost.
  std::optional<path_change> onUnreachable(const service_id &Service,
                                           const endpoint_id &Endpoint,
                                           std::size_t EndpointCount,
                                           steady_time Now);
  /// Records when another VM last received something from the service.
  void onPeerReached(const vm_id &Vm, const service_id &Service,
                     steady_time At);
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
  /// The same for all services.
  std::map<service_id, steady_time> lastReceived() const;

private:
  struct path_state {
    steady_time LastReceivedAt;
    /// Endpoints that could not be connected to since the last connection.
    std::map<endpoint_id, steady_time> Unreachable;
    std::map<vm_id, steady_time> PeerReachedAt;
    std::optional<steady_time> LostSince;
    /// Endpoints that probes have reached, one after the other.
    std::vector<endpoint_id> Probed;

    /// Whether nothing has come from the service since the first endpoint could
    /// not be connected to.
    bool isSilent() const;
  };

  std::map<service_id, path_state> Paths;
};

} // namespace azurehaven
