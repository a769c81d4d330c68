#pragma once

#include "LibLog/event_log.h"
#include "LibPeer/peer_network.h"
#include "LibRelay/fleet_state.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// Tells the other VMs what this one has under way and has seen, and takes in
/// what they tell. Called on the event loop.
class peer_state_sync {
public:
  peer_state_sync(fleet_state &Fleet, const clock_source &Clock,
                  peer_network &Peers)
      : Fleet(Fleet), Clock(Clock), Peers(Peers) {}

  /// Sends one notice to each member.
  void broadcast();
  void onFrame(const peer_frame &Frame);
  /// Forgets what VMs told that have been silent since.
  void expire();

private:
  fleet_notice buildNotice();
  void applyUses();

  struct reported_uses {
    std::map<endpoint_id, endpoint_load_notice> ByEndpoint;
    steady_time At;
  };

  fleet_state &Fleet;
  const clock_source &Clock;
  peer_network &Peers;
  std::map<vm_id, reported_uses> Uses;
};

} // namespace azurehaven
