#pragma once

#include "LibPeer/peer_network.h"
#include "LibRelay/crash_exchange.h"
#include "LibRelay/evidence_exchange.h"
#include "LibRelay/fleet_state.h"
#include "LibRelay/rollout_driver.h"
#include "LibTypes/clock_source.h"

#include <unordered_map>

namespace azurehaven {

/// Sends this VM's endpoint load, release statistics, session pins, crashes
/// and confirmations of the configuration to the other VMs and applies
/// theirs. Called on the event loop.
class peer_state_sync : public fleet_announcer {
public:
  peer_state_sync(fleet_state &Fleet, const clock_source &Clock,
                  const event_log &Log, peer_network &Peers,
                  std::uint64_t Incarnation)
      : Fleet(Fleet), Clock(Clock), Peers(Peers), Incarnation(Incarnation),
        Crashes(Fleet, Log), Evidence(Fleet.ReleaseStatistics.evidence(), Log) {
  }

  /// Sends one notice to each other member.
  void broadcast();
  void announce() override { broadcast(); }
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
  /// The leaving endpoints that are still listed, in each notice, since one may
  /// be lost and a VM may have just started.
  std::vector<leaving_notice> leavingNotices() const;
  /// The pins that the others have not been told of; at times during a
  /// roll-out all of this VM's, since a notice may be lost and a VM may have
  /// just started.
  std::vector<session_release_notice> sessionReleases();
  std::vector<rollout_notice> rolloutNotices() const;
  void applyRollouts(const std::vector<rollout_notice> &Notices,
                     steady_time Now);
  void applyRates(const std::vector<endpoint_rate_notice> &Rates,
                  steady_time Now);
  /// The release counts that have changed since the last notice; at times all
  /// of them, since a notice may be lost.
  std::vector<release_counts_notice> releaseCounts();
  bool sendsAllCounts() const;
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
  crash_exchange Crashes;
  evidence_exchange Evidence;
  std::map<vm_id, peer_loads> PeerLoads;
  std::unordered_map<std::uint64_t, total_load> Totals;
  std::map<release_key, release_counts> SentCounts;
  std::uint64_t NoticeCount = 0;
  /// The latest process start of each VM that has sent a notice.
  std::map<vm_id, std::uint64_t> KnownIncarnations;
  bool HasNewPeer = false;
};

} // namespace azurehaven
