#pragma once

#include "LibTypes/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehaven {

/// Reaches the peers that hold copies of bills while the store is away.
class custody_client {
public:
  virtual ~custody_client() = default;

  /// Peers that answer now, preferred ones (of other failure domains) first.
  virtual std::vector<vm_id> candidates() = 0;
  /// Asks a peer to hold bills; its answer repeats the nonce.
  virtual void request(const vm_id &Peer, std::uint64_t Nonce,
                       const std::vector<std::string> &Bills) = 0;
  /// Tells a peer that these bills are written.
  virtual void release(const vm_id &Peer,
                       const std::vector<std::string> &Keys) = 0;
};

} // namespace azurehaven
