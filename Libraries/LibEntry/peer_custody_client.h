#pragma once

#include "LibLedger/custody_client.h"
#include "LibMembership/member_table.h"
#include "LibPeer/peer_network.h"
#include "LibTypes/clock_source.h"

namespace azurehaven {

/// Asks other entry VMs to hold bills in custody, over the peer protocol.
class peer_custody_client : public custody_client {
public:
  peer_custody_client(const member_table &Members, const clock_source &Clock)
      : Members(Members), Clock(Clock) {}

  void setNetwork(peer_network &Opened) { Network = &Opened; }

  std::vector<vm_id> candidates() override {
    return Members.responsivePeers(Clock.now());
  }
  void request(const vm_id &Peer, std::uint64_t Nonce,
               const std::vector<std::string> &Bills) override {
    Network->send(Peer, custody_request{Nonce, Bills});
  }
  void release(const vm_id &Peer,
               const std::vector<std::string> &Keys) override {
    Network->send(Peer, custody_release{Keys});
  }

private:
  const member_table &Members;
  const clock_source &Clock;
  peer_network *Network = nullptr;
};

} // namespace azurehaven
