#include "LibRelay/fleet_state_updater.h"
#include "LibRelay/peer_state_sync.h"

#include "LibFleet/scripted_store.h"
#include "LibFleet/virtual_scheduler.h"
#include "scheduler_clock.h"
#include "test_fleet.h"

#include <doctest/doctest.h>

using namespace azurehaven;

namespace {

constexpr std::size_t VmCount = 16;
constexpr milliseconds SyncInterval{200};
constexpr milliseconds NoticeDelay{30};

/// Ignores the store's items; the tests set the configuration themselves.
class confirmation_listener : public store_mirror_listener {
public:
  explicit confirmation_listener(fleet_state_updater &Updater)
      : Updater(Updater) {}
  void onItem(const store_item &) override {}
  void onRemoved(const std::string &, removal_cause) override {}
  void onConfirmed(steady_time At) override { Updater.onConfirmed(At); }
  void onFirstRead() override {}
  void onRestored(store_revision) override {}
  void onReachable() override {}
  void onUnreachable(const std::string &) override {}

private:
  fleet_state_updater &Updater;
};

class fleet_network;

/// One VM with its own view of the same store.
struct virtual_vm {
  virtual_vm(fleet_network &Network, virtual_scheduler &Scheduler,
             std::size_t Index);
  void configure(std::uint64_t Version) {
    route_table::content Content;
    Content.Version = Version;
    Updater.onConfiguration(std::move(Content), {});
  }
  void tick() {
    const bool AsksStore = Fleet.Members.isAmongPreferred(
        "confirmations", Fleet.Self, askingVmCount(VmCount));
    Mirror.setConfirmationSource(AsksStore ? confirmation_source::Store
                                           : confirmation_source::Peers);
    if (const auto At = Fleet.Confirmation.confirmedAt())
      Mirror.onConfirmationAge(*At);
  }
  bool asksStore() const {
    return Fleet.Members.isAmongPreferred("confirmations", Fleet.Self,
                                          askingVmCount(VmCount));
  }

  scheduler_clock Clock;
  null_event_log Log;
  metrics Metrics;
  fleet_state Fleet;
  fleet_state_updater Updater{Fleet, Clock, Log, Metrics};
  confirmation_listener Listener{Updater};
  scripted_store Store;
  store_mirror Mirror;
  std::unique_ptr<peer_network> Link;
  peer_state_sync Sync;
  bool IsCutFromPeers = false;
};

/// Delivers notices after a delay.
class fleet_network {
public:
  class link : public peer_network {
  public:
    link(fleet_network &Network, vm_id Self)
        : Network(Network), Self(std::move(Self)) {}
    void setPeers(const std::map<vm_id, network_address> &) override {}
    void send(const vm_id &To, peer_message Message) override {
      Network.Scheduler.runAfter(Network.Delay, [=, this] {
        Network.deliver(To, {Self, 1, Message});
      });
    }
    peer_traffic traffic() const override { return {}; }

  private:
    fleet_network &Network;
    const vm_id Self;
  };

  fleet_network() {
    for (std::size_t Index = 0; Index < VmCount; ++Index)
      Vms.push_back(std::make_unique<virtual_vm>(*this, Scheduler, Index));
    for (auto &Vm : Vms) {
      Vm->configure(5);
      Vm->Mirror.start();
    }
  }
  void deliver(const vm_id &To, const peer_frame &Frame) {
    for (auto &Vm : Vms) {
      if (Vm->Fleet.Self == Frame.Sender && Vm->IsCutFromPeers)
        return;
      if (Vm->Fleet.Self == To && !Vm->IsCutFromPeers)
        Vm->Sync.onFrame(Frame);
    }
  }
  /// Runs all VMs, and tracks the greatest age of a confirmation.
  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += milliseconds(100)) {
      for (auto &Vm : Vms) {
        if (Passed % SyncInterval == milliseconds(0))
          Vm->Sync.broadcast();
        Vm->tick();
      }
      Scheduler.advance(milliseconds(100));
      for (auto &Vm : Vms)
        if (const auto Age = Vm->Fleet.Confirmation.age(Scheduler.now()))
          GreatestAge = std::max(GreatestAge, *Age);
    }
  }
  std::uint64_t watchCount() const {
    std::uint64_t Count = 0;
    for (const auto &Vm : Vms)
      Count += Vm->Store.Watches;
    return Count;
  }

  virtual_scheduler Scheduler;
  milliseconds Delay = NoticeDelay;
  std::vector<std::unique_ptr<virtual_vm>> Vms;
  milliseconds GreatestAge{0};
};

virtual_vm::virtual_vm(fleet_network &Network, virtual_scheduler &Scheduler,
                       std::size_t Index)
    : Clock(Scheduler),
      Fleet(testFleet("vm-" + std::to_string(Index), milliseconds(5000))),
      Store(Scheduler), Mirror(Store, Scheduler, Listener, {"", ""}),
      Link(std::make_unique<fleet_network::link>(Network, Fleet.Self)),
      Sync(Fleet, Clock, Log, *Link, 1) {
  for (std::size_t Other = 0; Other < VmCount; ++Other)
    Fleet.Members.put(testMember("vm-" + std::to_string(Other)));
}

/// Age at which a VM begins to refuse requests with a key.
constexpr milliseconds RefusalAge{3800};

} // namespace

TEST_CASE("In the calm most VMs rely on few that ask the store") {
  fleet_network Network;
  Network.run(milliseconds(10000));
  const std::uint64_t Before = Network.watchCount();
  Network.GreatestAge = milliseconds(0);
  Network.run(milliseconds(60000));
  const double CallsPerSecondAndVm =
      static_cast<double>(Network.watchCount() - Before) / 60 / VmCount;
  CHECK(CallsPerSecondAndVm < 0.3);
  CHECK(Network.GreatestAge < milliseconds(2600));
}

TEST_CASE("Changes that reach all VMs at once cost few further calls") {
  fleet_network Network;
  Network.run(milliseconds(10000));
  const std::uint64_t Before = Network.watchCount();
  Network.GreatestAge = milliseconds(0);
  // As the bill segments of all VMs do.
  for (int Interval = 0; Interval < 5; ++Interval) {
    for (auto &Vm : Network.Vms)
      Vm->Store.put("k", std::to_string(Interval));
    Network.run(milliseconds(12000));
  }
  const double CallsPerSecondAndVm =
      static_cast<double>(Network.watchCount() - Before) / 60 / VmCount;
  CHECK(CallsPerSecondAndVm < 0.3);
  CHECK(Network.GreatestAge < milliseconds(2600));
}

TEST_CASE("All VMs stay current when those that ask the store are lost") {
  fleet_network Network;
  Network.run(milliseconds(10000));
  for (auto &Vm : Network.Vms)
    if (Vm->asksStore())
      Vm->IsCutFromPeers = true;
  Network.GreatestAge = milliseconds(0);
  Network.run(milliseconds(30000));
  CHECK(Network.GreatestAge < milliseconds(2600));
}

TEST_CASE("A VM without the latest version gains nothing from the others") {
  fleet_network Network;
  Network.run(milliseconds(10000));
  virtual_vm *Behind = nullptr;
  for (auto &Vm : Network.Vms) {
    if (!Behind && !Vm->asksStore())
      Behind = Vm.get();
    else
      Vm->configure(6);
  }
  REQUIRE(Behind);
  // The operators have taken a key away at this moment. The VM is cut off from
  // the store, but hears the others.
  Behind->Store.IsDown = true;
  const auto RevokedAt = Network.Scheduler.now();
  Network.run(milliseconds(10000));
  CHECK_FALSE(Behind->Fleet.Confirmation.isCurrent(Network.Scheduler.now()));
  CHECK(*Behind->Fleet.Confirmation.confirmedAt() <= RevokedAt);
}

TEST_CASE("A VM with the latest version stays current without the store") {
  fleet_network Network;
  Network.run(milliseconds(10000));
  virtual_vm &Cut = *Network.Vms.front();
  Cut.Store.IsDown = true;
  Network.run(milliseconds(20000));
  CHECK(Cut.Fleet.Confirmation.isCurrent(Network.Scheduler.now()));
}

TEST_CASE("Slow notices make confirmations old, never wrongly recent") {
  fleet_network Network;
  Network.Delay = milliseconds(5000);
  Network.run(milliseconds(10000));
  // All VMs but one lose the store: what still arrives was confirmed earlier.
  for (auto &Vm : Network.Vms)
    Vm->Store.IsDown = true;
  const auto LostAt = Network.Scheduler.now();
  Network.run(milliseconds(20000));
  for (const auto &Vm : Network.Vms)
    CHECK(*Vm->Fleet.Confirmation.confirmedAt() <= LostAt);
  CHECK(Network.GreatestAge > RefusalAge);
}
