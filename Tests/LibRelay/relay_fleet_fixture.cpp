#include "relay_fleet_fixture.h"

#include "test_fleet.h"

namespace azurehaven {

namespace {

constexpr milliseconds NoticeInterval{200};

std::string vmName(std::size_t Index) {
  return "vm-" + std::to_string(Index + 1);
}

} // namespace

/// Delivers the notices of one VM to the others at once.
class relay_fleet_fixture::memory_network : public peer_network {
public:
  memory_network(relay_fleet_fixture &Fleet, vm_id Self)
      : Fleet(Fleet), Self(std::move(Self)) {}
  void setPeers(const std::map<vm_id, network_address> &) override {}
  void send(const vm_id &To, peer_message Message) override {
    if (Fleet.Isolated.contains(Self) || Fleet.Isolated.contains(To))
      return;
    const peer_frame Frame{Self, 1, std::move(Message)};
    for (std::size_t Index = 0; Index < Fleet.Vms.size(); ++Index)
      if (Fleet.Vms[Index]->Fleet.Self == To)
        Fleet.Syncs[Index]->onFrame(Frame);
  }
  peer_traffic traffic() const override { return {}; }

private:
  relay_fleet_fixture &Fleet;
  const vm_id Self;
};

relay_fleet_fixture::relay_fleet_fixture(std::size_t VmCount,
                                         std::size_t EndpointCount) {
  Vms.push_back(std::make_unique<relay_fixture>(EndpointCount));
  while (Vms.size() < VmCount)
    Vms.push_back(
        std::make_unique<relay_fixture>(*Vms.front(), vmName(Vms.size())));
  for (auto &Vm : Vms) {
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      member_entry Member = testMember(vmName(Index));
      Member.ForwardingAddress = Vms[Index]->ForwardingAddress;
      Vm->Fleet.Members.put(Member);
    }
    Networks.push_back(std::make_unique<memory_network>(*this, Vm->Fleet.Self));
    Syncs.push_back(std::make_unique<peer_state_sync>(
        Vm->Fleet, Vm->Clock, Vm->Log, *Networks.back(), 1));
  }
}

relay_fleet_fixture::~relay_fleet_fixture() {
  // The first VM owns what the others share.
  while (!Vms.empty())
    Vms.pop_back();
}

void relay_fleet_fixture::addRoute(const std::string &Prefix, route_kind Kind) {
  for (auto &Vm : Vms)
    Vm->addRoute(Prefix, Kind);
}

void relay_fleet_fixture::applyRoutes() {
  for (auto &Vm : Vms)
    Vm->applyRoutes();
}

void relay_fleet_fixture::setScript(relay_fixture::script Script) {
  Vms.front()->setScript(std::move(Script));
}

void relay_fleet_fixture::advance(milliseconds Time) {
  Vms.front()->Clock.skip(Time);
  SinceNotices += Time;
  if (SinceNotices < NoticeInterval)
    return;
  SinceNotices = milliseconds(0);
  exchangeNotices();
}

void relay_fleet_fixture::exchangeNotices() {
  for (auto &Sync : Syncs) {
    Sync->expire();
    Sync->broadcast();
  }
}

void relay_fleet_fixture::losePath(std::size_t Vm) {
  // A port on which nothing listens.
  asio::ip::tcp::acceptor Closed(Vms.front()->Loop,
                                 {asio::ip::make_address("127.0.0.1"), 0});
  const network_address Unreachable{"127.0.0.1",
                                    Closed.local_endpoint().port()};
  Closed.close();
  const auto Endpoints = Vms[Vm]->Fleet.Endpoints.all();
  for (const auto &[Id, Endpoint] : Endpoints) {
    Vms[Vm]->Connections.closeIdleConnections(Endpoint->Descriptor.Address);
    Endpoint->Descriptor.Address = Unreachable;
  }
}

void relay_fleet_fixture::regainPath(std::size_t Vm) {
  const auto &Originals = Vms.front()->EndpointAddresses;
  for (const auto &[Id, Endpoint] : Vms[Vm]->Fleet.Endpoints.all())
    Endpoint->Descriptor.Address = Originals.at(Id);
}

void relay_fleet_fixture::isolateFromPeers(std::size_t Vm) {
  Isolated.insert(Vms[Vm]->Fleet.Self);
}

} // namespace azurehaven
