#pragma once

#include "LibLog/event_log.h"
#include "LibPeer/peer_network.h"
#include "LibRelay/fleet_state.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// Sends this VM's endpoint load, release statistics, session pins and crash
/// reports to the other VMs and applies theirs. Called on the event loop.
class peer_state_sync {
public:
  peer_state_sync(fleet_state &Fleet, const clock_source &Clock,
                  peer_network &Peers)
      : Fleet(Fleet), Clock(Clock), Peers(Peers) {}

  /// Sends one notice to each other member.
  void broadcast();
  void onFrame(const peer_frame &Frame);
  /// Drops the endpoint load reported by VMs that have stopped sending.
  void expire();

private:
  fleet_notice buildNotice();
  void applyPeerLoads();

  struct peer_loads {
    std::map<endpoint_id, endpoint_load_notice> ByEndpoint;
    steady_time At;
  };

  fleet_state &Fleet;
  const clock_source &Clock;
  peer_network &Peers;
  std::map<vm_id, peer_loads> PeerLoads;
};

} // namespace azurehaven
