#pragma once

#include "LibLog/event_log.h"
#include "LibPeer/peer_network.h"
#include "LibRelay/fleet_state.h"
#include "LibTypes/clock_source.h"

#include <unordered_map>

namespace azurehaven {

/// Sends this VM's endpoint load, release statistics, session pins, crash
/// reports and confirmations of the configuration to the other VMs and applies
/// theirs. Called on the event loop.
class peer_state_sync {
public:
  peer_state_sync(fleet_state &Fleet, const clock_source &Clock,
                  peer_network &Peers, std::uint64_t Incarnation)
      : Fleet(Fleet), Clock(Clock), Peers(Peers), Incarnation(Incarnation) {}

  /// Sends one notice to each other member.
  void broadcast();
  void onFrame(const peer_frame &Frame);
  /// Drops the endpoint load reported by VMs that have stopped sending.
  void expire();

private:
  /// The sum of what the other VMs have reported for one endpoint.
  struct total_load {
    std::uint64_t InFlight = 0;
    std::uint64_t PromptWork = 0;
  };
  struct peer_loads {
    std::vector<endpoint_load_notice> Loads;
    steady_time At;
  };

  fleet_notice buildNotice();
  std::vector<endpoint_rate_notice> rateNotices() const;
  std::vector<brittle_service_notice> brittleNotices() const;
  void applyBrittleServices(const std::vector<brittle_service_notice> &Services,
                            steady_time Now);
  std::vector<reached_service_notice> reachedNotices() const;
  void applyRates(const std::vector<endpoint_rate_notice> &Rates,
                  steady_time Now);
  /// The release counts that have changed since the last notice; at times all
  /// of them, since a notice may be lost.
  std::vector<release_counts_notice> releaseCounts();
  /// Takes the sender's clock reading, and its confirmation of the
  /// configuration if it proves something here.
  void exchangeConfirmations(const peer_frame &Frame,
                             const fleet_notice &Notice, steady_time Now);
  void addToTotals(const std::vector<endpoint_load_notice> &Loads);
  void removeFromTotals(const std::vector<endpoint_load_notice> &Loads);
  void applyTotals();

  fleet_state &Fleet;
  const clock_source &Clock;
  peer_network &Peers;
  /// Of this process start.
  const std::uint64_t Incarnation;
  std::map<vm_id, peer_loads> PeerLoads;
  std::unordered_map<std::uint64_t, total_load> Totals;
  std::map<release_key, release_counts> SentCounts;
  std::uint64_t NoticeCount = 0;
};

} // namespace azurehaven
