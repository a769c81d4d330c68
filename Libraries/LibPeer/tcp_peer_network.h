#pragma once

#include "LibPeer/peer_network.h"
#include "LibTypes/result.h"

#include <memory>

namespace azurehaven {

/// Sends length-prefixed frames (4 bytes, big-endian) over TCP, with one
/// outgoing connection per peer. The receiver runs on the network's own thread.
class tcp_peer_network : public peer_network {
public:
  /// Returns Unavailable when the address can't be bound.
  static result<std::unique_ptr<tcp_peer_network>>
  listen(const network_address &Address, vm_id Self, std::uint64_t Incarnation,
         peer_receiver Receiver);
  ~tcp_peer_network() override;

  void setPeers(const std::map<vm_id, network_address> &Peers) override;
  void send(const vm_id &To, peer_message Message) override;
  peer_traffic traffic() const override;

private:
  class network_state;
  explicit tcp_peer_network(std::shared_ptr<network_state> State);

  std::shared_ptr<network_state> State;
};

} // namespace azurehaven
