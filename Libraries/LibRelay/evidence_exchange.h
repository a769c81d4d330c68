#pragma once

#include "LibLog/event_log.h"
#include "LibPeer/peer_message.h"
#include "LibRollout/release_evidence.h"

#include <map>
#include <vector>

namespace azurehaven {

/// Tells the other VMs of the outcomes that this one has counted, and takes
/// over theirs. Used on the event loop only.
class evidence_exchange {
public:
  evidence_exchange(release_evidence &Evidence, const event_log &Log)
      : Evidence(Evidence), Log(Log) {}

  /// The outcomes that have changed since the last call, or all of them.
  std::vector<release_outcomes_notice> notices(bool SendsAll);
  /// Notices with latencies out of range have no effect.
  void onNotices(const vm_id &Sender, std::uint64_t Incarnation,
                 const std::vector<release_outcomes_notice> &Notices,
                 steady_time Now);
  void expire(steady_time Now);

private:
  release_evidence &Evidence;
  const event_log &Log;
  std::map<evidence_key, outcome_histogram> Sent;
};

} // namespace azurehaven
