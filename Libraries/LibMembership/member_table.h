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
  /// A peer unheard for longer is left out of discovery and of custody.
  milliseconds SuspicionTimeout{2000};
  /// A peer unheard for longer counts as gone: its bills are adopted.
  milliseconds FailureTimeout{10000};
};

/// The entry VMs, joined from the platform's list and the peers' own words.
/// Thread-safe (lock_rank::Membership).
class member_table {
public:
  member_table(member_notice Self, network_address SelfAddress,
               member_timeouts Timeouts);

  /// Takes over the platform's list; unlisted VMs are forgotten.
  void applyList(const std::vector<listed_vm> &List, steady_time Now);
  void recordContact(const vm_id &Vm, std::uint64_t Incarnation,
                     steady_time Now);
  /// Merges a notice: the higher incarnation wins, then Leaving.
  void merge(const member_notice &Notice);
  /// Moves this VM on to a later state and spreads the word.
  void advanceOwnState(member_state State);
  member_state ownState() const;

  /// Notices to piggyback on the next heartbeat.
  std::vector<member_notice> takeNotices();
  std::map<vm_id, network_address> peerAddresses() const;
  /// Entry VMs that callers may use now, this one first.
  std::vector<entry_address> servingEntries(steady_time Now) const;
  /// Peers that answer now, those of other failure domains first.
  std::vector<vm_id> responsivePeers(steady_time Now) const;
  bool hasLeftOrFailed(const vm_id &Vm, steady_time Now) const;
  /// Whether a later process of the VM has been heard of.
  bool hasRestarted(const vm_id &Vm, std::uint64_t Incarnation) const;
  /// Entry VMs, this one included, that share the callers' load now.
  std::size_t servingEntryCount(steady_time Now) const;
  /// Position of this VM among the live ones of its failure domain, by id.
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
