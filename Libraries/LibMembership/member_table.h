#pragma once

#include "LibMembership/gossip_buffer.h"
#include "LibMembership/vm_list.h"
#include "LibPeer/peer_message.h"
#include "LibTypes/ranked_mutex.h"

#include <map>

namespace azurehaven {

struct entry_address {
  vm_id Vm;
  failure_domain_id Domain;
  network_address Address;
};

struct member_timeouts {
  /// A peer silent for longer is excluded from discovery and from custody.
  milliseconds SuspicionTimeout{2000};
  /// A peer silent for longer is considered failed: its bills are adopted.
  milliseconds FailureTimeout{10000};
};

/// The entry VMs, as given by the platform's list and by the notices that each
/// VM issues about itself.
/// Thread-safe (lock_rank::Membership).
class member_table {
public:
  member_table(member_notice Self, network_address SelfAddress,
               member_timeouts Timeouts);

  /// Replaces the members by the entry VMs of the platform's list.
  void applyList(const std::vector<listed_vm> &List, steady_time Now);
  /// Records that a frame from the VM arrived. A higher incarnation than the
  /// known one resets the VM's state to Starting.
  void recordContact(const vm_id &Vm, std::uint64_t Incarnation,
                     steady_time Now);
  /// Merges a notice: the higher incarnation wins, then the later state.
  void merge(const member_notice &Notice);
  /// Advances this VM to a later state and queues a notice for the peers;
  /// ignores an earlier state.
  void advanceOwnState(member_state State);
  member_state ownState() const;

  /// Notices to piggyback on the next heartbeat.
  std::vector<member_notice> takeNotices();
  std::map<vm_id, network_address> peerAddresses() const;
  /// Entry VMs that accept callers now, this one first.
  std::vector<entry_address> servingEntries(steady_time Now) const;
  /// Peers heard from within SuspicionTimeout, those of other failure domains
  /// first.
  std::vector<vm_id> responsivePeers(steady_time Now) const;
  /// Whether a VM is no longer listed, or was silent longer than
  /// FailureTimeout.
  bool hasLeftOrFailed(const vm_id &Vm, steady_time Now) const;
  /// Whether the VM is known to run with a higher incarnation.
  bool hasRestarted(const vm_id &Vm, std::uint64_t Incarnation) const;
  /// Number of serving entry VMs, but at least 1: this VM.
  std::size_t servingEntryCount(steady_time Now) const;
  /// Position of this VM among the responsive ones of its failure domain, by
  /// id.
  std::size_t rankInDomain(steady_time Now) const;

private:
  struct member {
    listed_vm Listed;
    steady_time ListedSince;
    std::optional<steady_time> LastContact;
  };

  bool isResponsive(const member &Member, steady_time Now) const;
  bool isServing(const vm_id &Vm) const;

  mutable ranked_mutex Mutex{lock_rank::Membership};
  member_notice Self;
  const network_address SelfAddress;
  const member_timeouts Timeouts;
  std::map<vm_id, member> Members;
  gossip_buffer<vm_id, member_notice> Notices;
};

} // namespace azurehaven
