#pragma once

#include "LibTypes/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehaven {

/// Sends custody requests: peers hold copies of bills in memory while the store
/// is unavailable.
class custody_client {
public:
  virtual ~custody_client() = default;

  /// Responsive peers, those of other failure domains first.
  virtual std::vector<vm_id> candidates() = 0;
  /// Requests custody of the bills from a peer; its acknowledgement carries the
  /// nonce.
  virtual void request(const vm_id &Peer, std::uint64_t Nonce,
                       const std::vector<std::string> &Bills) = 0;
  /// Notifies a peer that these bills are written and need no copy.
  virtual void release(const vm_id &Peer,
                       const std::vector<std::string> &Keys) = 0;
};

} // namespace azurehaven
