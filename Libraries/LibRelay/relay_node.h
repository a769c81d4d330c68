#pragma once

#include "LibConnection/connection_listener.h"
#include "LibFleet/era_record.h"
#include "LibFleet/member_registration.h"
#include "LibPeer/tcp_peer_network.h"
#include "LibRelay/asio_scheduler.h"
#include "LibRelay/crash_archive.h"
#include "LibRelay/crash_confirmation.h"
#include "LibRelay/directory_service.h"
#include "LibRelay/fleet_state_updater.h"
#include "LibRelay/path_prober.h"
#include "LibRelay/peer_state_sync.h"
#include "LibRelay/relay.h"
#include "LibRelay/relay_settings.h"
#include "LibRelay/rollout_driver.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace azurehaven {

/// What the fleet keeps in the store for processes that start later.
struct store_records {
  era_record &Era;
  crash_archive &Crashes;
};

/// One relay process: listener, fleet state, periodic work and graceful
/// shutdown on one event loop. The caller supplies the codec and the parts that
/// use the store.
class relay_node {
public:
  relay_node(asio::io_context &Loop, const relay_settings &Settings,
             const clock_source &Clock, const wire_codec &Codec,
             const event_log &Log, metrics &Metrics);

  fleet_state_updater &stateUpdater() { return StateUpdater; }
  event_scheduler &scheduler() { return Scheduler; }
  const fleet_state &fleet() const { return Fleet; }
  /// Applies the stop grace, the revocation bound, the retry limits and the
  /// exposure share; all other settings keep their start-up values.
  void applySettings(const relay_settings &Changed);
  steady_time now() const { return Clock.now(); }
  bool isReady() const;
  directory_response directory() const;
  /// Gauges in Prometheus text format; counters are rendered elsewhere.
  std::string renderGauges() const;

  /// Starts serving; the registration announces this VM in the store. Returns
  /// Unavailable if the caller address can't be bound.
  status start(store_mirror &Mirror, member_registration &Registration,
               store_records Records, engine_inspector &Inspector,
               rollout_publisher &Publisher, bill_journal &Bills);
  member_entry selfEntry() const;

private:
  void runPeriodicTasks();
  /// Decides whether this VM asks the store for confirmations of the
  /// configuration or relies on the other VMs.
  void updateConfirmationSource();
  /// To be called once a tick.
  registry_state registryState();
  /// Writes what other processes have to know that start later.
  void updateStoreRecords();
  /// Lets one VM write down that the store's era is settled.
  void recordSettledEra();
  /// While a roll-out is undecided, counts slow attempts before they end, and
  /// keeps the sessions of running requests on their releases.
  void observeRunningRequests();
  void syncPeers();
  void waitForSignal();
  void beginStop();
  void advanceStop();
  void stopAccepting();
  /// Ends the running requests and answers the incomplete ones.
  void endRemainingRequests();
  bool hasWork() const;
  std::vector<connection_listener *> listeners() const;

  asio::io_context &Loop;
  relay_settings Settings;
  const clock_source &Clock;
  const event_log &Log;
  fleet_state Fleet;
  connection_pool Connections;
  relay_context Context;
  relay Relay;
  /// Serves requests that other VMs forward.
  relay ForwardingRelay;
  path_prober PathProber;
  fleet_state_updater StateUpdater;
  asio_scheduler Scheduler;
  asio::signal_set Signals;
  std::unique_ptr<connection_listener> Listener;
  std::unique_ptr<connection_listener> ForwardingListener;
  member_registration *Registration = nullptr;
  std::optional<store_records> Records;
  steady_time LastTickAt;
  store_mirror *Mirror = nullptr;
  std::unique_ptr<peer_network> Peers;
  std::unique_ptr<peer_state_sync> PeerSync;
  std::unique_ptr<rollout_driver> Rollouts;
  const std::uint64_t Incarnation;
  bool IsAccepting = true;
};

} // namespace azurehaven
