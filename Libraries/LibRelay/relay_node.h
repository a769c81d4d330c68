#pragma once

#include "LibConnection/connection_listener.h"
#include "LibFleet/member_registration.h"
#include "LibPeer/tcp_peer_network.h"
#include "LibRelay/asio_scheduler.h"
#include "LibRelay/directory_service.h"
#include "LibRelay/fleet_state_updater.h"
#include "LibRelay/peer_state_sync.h"
#include "LibRelay/relay.h"
#include "LibRelay/relay_settings.h"
#include "LibRelay/rollout_driver.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace azurehaven {

/// One process that takes callers' requests: an event loop with its listener,
/// its beliefs and its planned stop. The store and the protocol are given to
/// it.
class relay_node {
public:
  relay_node(asio::io_context &Loop, const relay_settings &Settings,
             const clock_source &Clock, const wire_codec &Codec,
             const event_log &Log, metrics &Metrics);

  fleet_state_updater &stateUpdater() { return StateUpdater; }
  event_scheduler &scheduler() { return Scheduler; }
  const fleet_state &fleet() const { return Fleet; }
  /// Puts changed settings in force; addresses stay as they were at the start.
  void applySettings(const relay_settings &Changed);
  bool isReady() const;
  directory_response directory() const;
  /// Present values in Prometheus text form, beside the counters.
  std::string renderGauges() const;

  /// Starts to serve; the registration announces this VM in the store. Returns
  /// Unavailable when the callers' address can't be bound.
  status start(member_registration &Registration, engine_inspector &Inspector,
               rollout_publisher &Publisher, bill_journal &Bills);
  member_entry selfEntry() const;

private:
  void tick();
  void exchange();
  void waitForSignal();
  void beginStop();
  void finishStop();

  asio::io_context &Loop;
  relay_settings Settings;
  const clock_source &Clock;
  const event_log &Log;
  fleet_state Fleet;
  connection_pool Connections;
  relay_context Context;
  relay Relay;
  fleet_state_updater StateUpdater;
  asio_scheduler Scheduler;
  asio::signal_set Signals;
  std::unique_ptr<connection_listener> Listener;
  member_registration *Registration = nullptr;
  std::unique_ptr<peer_network> Peers;
  std::unique_ptr<peer_state_sync> PeerSync;
  std::unique_ptr<rollout_driver> Rollouts;
  const std::uint64_t Incarnation;
};

} // namespace azurehaven
