#pragma once

#include "LibPeer/peer_network.h"

#include <functional>

namespace azurehaven {

/// Hands a VM's notices to a simulation.
class simulated_network : public peer_network {
public:
  using frame_handler = std::function<void(peer_frame, const vm_id &To)>;

  simulated_network(vm_id Self, std::uint64_t Incarnation,
                    frame_handler Deliver)
      : Self(std::move(Self)), Incarnation(Incarnation),
        Deliver(std::move(Deliver)) {}
  void setPeers(const std::map<vm_id, network_address> &) override {}
  void send(const vm_id &To, peer_message Message) override {
    Deliver({Self, Incarnation, std::move(Message)}, To);
  }
  peer_traffic traffic() const override { return {}; }

private:
  const vm_id Self;
  const std::uint64_t Incarnation;
  const frame_handler Deliver;
};

} // namespace azurehaven
