#include "LibRouting/admission_control.h"

#include <algorithm>

namespace azurehaven {

namespace {

/// More requests in flight than slots keep the batches of the endpoints full
/// while responses are in transit.
constexpr double InFlightPerSlot = 1.25;
constexpr milliseconds PeerUsageLifetime{3000};

} // namespace

admission_queue &admission_control::queueOf(const version_id &Version,
                                            steady_time Now) {
  auto [It, IsNew] = Queues.try_emplace(Version);
  if (IsNew)
    updateLimit(Version, It->second, Now);
  return It->second;
}

/// Scans all endpoints; only advance() and the creation of a queue call it.
void admission_control::updateLimit(const version_id &Version,
                                    admission_queue &Queue,
                                    steady_time Now) const {
  const double Limit = InFlightPerSlot *
                       static_cast<double>(Endpoints.slotsOf(Version, Now)) /
                       static_cast<double>(EntryCount);
  Queue.setConcurrencyLimit(
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Limit + 0.5)));
}

void admission_control::updateRemoteInFlight(admission_queue &Queue,
                                             steady_time Now) const {
  std::map<client_account_id, std::uint32_t> Totals;
  for (const auto &[Peer, Usage] : PeerUsage)
    if (Now - Usage.ReceivedAt <= PeerUsageLifetime)
      for (const auto &Notice : Usage.Usage)
        Totals[Notice.Account] += Notice.InFlight;
  Queue.setRemoteInFlight(Totals);
}

void admission_control::setPeerUsage(const vm_id &Peer,
                                     std::vector<usage_notice> Usage,
                                     steady_time Now) {
  PeerUsage[Peer] = {std::move(Usage), Now};
}

admission_result admission_control::admit(const version_id &Version,
                                          const admission_request &Request,
                                          steady_time Now) {
  admission_queue &Queue = queueOf(Version, Now);
  updateRemoteInFlight(Queue, Now);
  return Queue.admit(Request, Now);
}

admission_progress admission_control::release(const version_id &Version,
                                              admission_ticket Ticket,
                                              milliseconds ServiceTime,
                                              steady_time Now) {
  return queueOf(Version, Now).release(Ticket, ServiceTime, Now);
}

bool admission_control::cancel(const version_id &Version,
                               admission_ticket Ticket) {
  auto Found = Queues.find(Version);
  return Found != Queues.end() && Found->second.cancel(Ticket);
}

std::vector<std::pair<version_id, admission_progress>>
admission_control::advance(steady_time Now) {
  std::vector<std::pair<version_id, admission_progress>> All;
  for (auto &[Version, Queue] : Queues) {
    updateLimit(Version, Queue, Now);
    updateRemoteInFlight(Queue, Now);
    All.emplace_back(Version, Queue.advance(Now));
  }
  return All;
}

milliseconds admission_control::expectedWait(const version_id &Version) const {
  auto Queue = Queues.find(Version);
  return Queue == Queues.end() ? milliseconds(0) : Queue->second.expectedWait();
}

std::vector<usage_notice> admission_control::inFlightByAccount() const {
  std::map<client_account_id, std::uint32_t> Totals;
  for (const auto &[Version, Queue] : Queues)
    Queue.addInFlightTo(Totals);
  std::vector<usage_notice> Notices;
  for (const auto &[Account, InFlightHere] : Totals)
    Notices.push_back({Account, InFlightHere});
  return Notices;
}

} // namespace azurehaven
