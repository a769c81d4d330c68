#pragma once

#include "LibDispatch/prompt_quarantine.h"
#include "LibPeer/peer_message.h"
#include "LibTypes/ranked_mutex.h"

namespace azurehaven {

/// Prompt segments under which engines crash, replicated among the VMs. Each
/// notice is sent in one heartbeat round; a VM that misses it learns from the
/// crashes that it observes itself. Thread-safe (lock_rank::PromptCrashes).
class prompt_crash_registry {
public:
  /// Records that an engine crashed as soon as it began to respond to a prompt
  /// with these segments. BootId: the engine's process start.
  void addCrash(const std::vector<segment_key> &Segments,
                const endpoint_id &Engine, const std::string &BootId,
                steady_time Now);
  /// Records that a response to a prompt with these segments makes progress.
  void clear(const std::vector<segment_key> &Segments, steady_time Now);
  bool isQuarantined(const std::vector<segment_key> &Segments) const;
  /// Number of segments, or groups of them, that are quarantined.
  std::size_t quarantinedCount() const;

  /// Moves the notices that the other VMs don't have yet into a heartbeat, and
  /// forgets what is long past.
  void takeNotices(heartbeat &Message, steady_time Now);
  void mergeNotices(const heartbeat &Message, steady_time Now);

private:
  mutable ranked_mutex Mutex{lock_rank::PromptCrashes};
  prompt_quarantine Quarantine;
};

} // namespace azurehaven
