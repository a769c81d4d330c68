#pragma once

#include "LibPeer/peer_message.h"
#include "LibRouting/admission_queue.h"
#include "LibRouting/endpoint_table.h"

namespace azurehaven {

/// The admission queues of all versions, with their limits and the usage that
/// peers report. Not thread-safe.
class admission_control {
public:
  /// Endpoints: the slots that the limits follow; must outlive this.
  explicit admission_control(const endpoint_table &Endpoints)
      : Endpoints(Endpoints) {}

  /// Sets how many entry VMs share the endpoints.
  void setEntryCount(std::size_t Count) { EntryCount = Count; }
  /// Stores the usage that a peer reported, in place of its previous report.
  void setPeerUsage(const vm_id &Peer, std::vector<usage_notice> Usage,
                    steady_time Now);

  admission_result admit(const version_id &Version,
                         const admission_request &Request, steady_time Now);
  admission_progress release(const version_id &Version, admission_ticket Ticket,
                             milliseconds ServiceTime, steady_time Now);
  bool cancel(const version_id &Version, admission_ticket Ticket);
  /// Advances every queue.
  std::vector<std::pair<version_id, admission_progress>>
  advance(steady_time Now);

  /// 0 if no request of the version has been admitted yet.
  milliseconds expectedWait(const version_id &Version) const;
  /// Requests in flight on this VM by account.
  std::vector<usage_notice> inFlightByAccount() const;

private:
  struct peer_usage {
    std::vector<usage_notice> Usage;
    steady_time ReceivedAt;
  };

  admission_queue &queueOf(const version_id &Version, steady_time Now);
  void updateLimit(const version_id &Version, admission_queue &Queue,
                   steady_time Now) const;
  void updateRemoteInFlight(admission_queue &Queue, steady_time Now) const;

  const endpoint_table &Endpoints;
  std::map<version_id, admission_queue> Queues;
  std::map<vm_id, peer_usage> PeerUsage;
  std::size_t EntryCount = 1;
};

} // namespace azurehaven
