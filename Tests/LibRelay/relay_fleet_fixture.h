#pragma once

#include "LibRelay/peer_state_sync.h"
#include "relay_fixture.h"

#include <memory>
#include <set>
#include <vector>

namespace azurehaven {

/// Several relays with the same scripted endpoints, each with its own view of
/// the fleet, that exchange notices in memory. The time is virtual: it passes
/// only by advance().
class relay_fleet_fixture {
public:
  relay_fleet_fixture(std::size_t VmCount, std::size_t EndpointCount);
  ~relay_fleet_fixture();

  /// Adds the route to all VMs; call applyRoutes() afterwards.
  void addRoute(const std::string &Prefix, route_kind Kind);
  void applyRoutes();
  void setScript(relay_fixture::script Script);
  /// Lets time pass; VMs exchange notices at their usual interval.
  void advance(milliseconds Time);
  /// Delivers a notice of each VM to each other one.
  void exchangeNotices();
  /// The VM can't connect to any endpoint any more.
  void losePath(std::size_t Vm);
  void regainPath(std::size_t Vm);
  /// From now on the VM's notices and those for it are lost.
  void isolateFromPeers(std::size_t Vm);

  std::size_t size() const { return Vms.size(); }
  relay_fixture &vm(std::size_t Index) { return *Vms[Index]; }
  std::vector<received_request> &received() { return Vms.front()->Received; }

private:
  class memory_network;

  std::vector<std::unique_ptr<relay_fixture>> Vms;
  std::vector<std::unique_ptr<memory_network>> Networks;
  std::vector<std::unique_ptr<peer_state_sync>> Syncs;
  std::set<vm_id> Isolated;
  milliseconds SinceNotices{0};
};

} // namespace azurehaven
