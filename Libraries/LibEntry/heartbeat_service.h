#pragma once

#include "LibEntry/entry_services.h"
#include "LibLedger/custody_table.h"
#include "LibPeer/peer_network.h"

namespace azurehaven {

/// Exchanges messages with the other entry VMs: heartbeats with the notices
/// that they carry, configurations, and bills held in custody. Thread-safe.
class heartbeat_service {
public:
  heartbeat_service(const entry_services &Services, peer_network &Network,
                    custody_table &CustodyTable, std::uint64_t Incarnation);

  /// Sends a heartbeat request with the pending notices to the peers of this
  /// round.
  void sendHeartbeats();
  /// Handles one frame. Called on the network's thread.
  void receive(const peer_frame &Frame);

private:
  heartbeat makeHeartbeat(heartbeat_kind Kind, std::uint64_t Nonce);
  void handle(const peer_frame &Frame, const heartbeat &Message);
  void handle(const peer_frame &Frame, const configuration_request &Message);
  void handle(const peer_frame &Frame, const configuration_snapshot &Message);
  void handle(const peer_frame &Frame, const custody_request &Message);
  void handle(const peer_frame &Frame, const custody_acknowledgement &Message);
  void handle(const peer_frame &Frame, const custody_release &Message);
  /// Ignored: only relay processes use fleet notices.
  void handle(const peer_frame &, const fleet_notice &) {}
  void mergeNotices(const heartbeat &Message);

  const entry_services &Services;
  peer_network &Network;
  custody_table &CustodyTable;
  const std::uint64_t Incarnation;

  ranked_mutex Mutex{lock_rank::Records};
  std::uint64_t NextNonce = 1;
  /// When each recent heartbeat request was sent, by nonce.
  std::map<std::uint64_t, steady_time> RequestTimes;
};

} // namespace azurehaven
