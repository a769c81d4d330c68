#pragma once

#include "LibPeer/peer_message.h"
#include "LibTypes/network_address.h"

#include <functional>
#include <map>

namespace azurehaven {

struct peer_traffic {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Frames discarded because the peer's queue was full, or because the peer
  /// was unreachable or unknown.
  std::uint64_t FramesDropped = 0;
  /// Connections closed because of a malformed frame.
  std::uint64_t BadFrames = 0;
};

/// Sends messages to other entry processes with at-most-once delivery.
class peer_network {
public:
  virtual ~peer_network() = default;

  virtual void setPeers(const std::map<vm_id, network_address> &Peers) = 0;
  virtual void send(const vm_id &To, peer_message Message) = 0;
  virtual peer_traffic traffic() const = 0;
};

using peer_receiver = std::function<void(const peer_frame &)>;

} // namespace azurehaven
