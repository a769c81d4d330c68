#pragma once

#include "LibLog/event_log.h"
#include "LibPeer/peer_message.h"
#include "LibRelay/fleet_state.h"

#include <map>
#include <optional>

namespace azurehaven {

/// Brings what any VM knows of crashes to all of them. Each notice tells what
/// the sender has observed since the one before, and a digest of all that it
/// knows; a VM whose digest stays another one asks the sender for the rest.
class crash_exchange {
public:
  crash_exchange(fleet_state &Fleet, const event_log &Log)
      : Fleet(Fleet), Log(Log) {}

  /// Adds what all other VMs are told.
  void addNews(fleet_notice &Notice, std::size_t Recipients, steady_time Now);
  /// Adds what only this VM is told, to a copy of the notice to all.
  void addFor(const vm_id &To, fleet_notice &Notice, steady_time Now);
  void onNotice(const vm_id &From, const fleet_notice &Notice, steady_time Now);
  /// Forgets VMs that have stopped sending.
  void expire(steady_time Now);

private:
  struct peer_state {
    steady_time LastNoticeAt;
    /// Whether the VM reads crash records; an earlier build does not.
    bool ReadsRecords = false;
    /// Its notices in a row whose digest differed from this VM's.
    unsigned Mismatches = 0;
    steady_time LastAskedAt;
    /// It has asked for all records and has not been sent them yet.
    bool IsWaiting = false;
  };

  crash_digest_notice digest() const;
  waiting_crash_digest_notice waitingDigest() const;
  /// Whether the sender's digests equal this VM's.
  bool knowsTheSame(const fleet_notice &Notice) const;
  /// The VM to ask for its records now; nullopt if none is known to differ.
  std::optional<vm_id> selectSource() const;
  void merge(const vm_id &From, const fleet_notice &Notice, steady_time Now);
  void mergeEarlierForm(const fleet_notice &Notice, steady_time Now);

  fleet_state &Fleet;
  const event_log &Log;
  std::map<vm_id, peer_state> Peers;
  std::optional<vm_id> Source;
  std::uint64_t NoticeCount = 0;
};

} // namespace azurehaven
