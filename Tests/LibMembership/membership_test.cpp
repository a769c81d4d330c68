#include "LibMembership/http_vm_list.h"
#include "LibMembership/member_table.h"

#include <doctest/doctest.h>

#include <set>

using namespace azurehaven;

namespace {

const steady_time Start{std::chrono::hours(1)};

listed_vm entry(const char *Name, const char *Domain) {
  listed_vm ListedVm;
  ListedVm.Vm = vm_id(Name);
  ListedVm.Domain = failure_domain_id(Domain);
  ListedVm.Address = {"127.0.0.1", 1};
  ListedVm.PeerAddress = network_address{"127.0.0.1", 2};
  return ListedVm;
}

member_table makeTable() {
  return member_table(
      {vm_id("a"), 1, member_state::Serving, failure_domain_id("north")},
      {"127.0.0.9", 9}, {});
}

member_notice notice(const char *Name, std::uint64_t Incarnation,
                     member_state State) {
  return {vm_id(Name), Incarnation, State, {}};
}

} // namespace

TEST_CASE("discovery lists this VM and the responsive peers that serve") {
  auto Table = makeTable();
  Table.applyList({entry("b", "north"), entry("c", "south")}, Start);
  Table.recordContact(vm_id("b"), 1, Start);
  Table.recordContact(vm_id("c"), 1, Start);
  // The peers have sent frames but are still starting.
  CHECK(Table.servingEntries(Start).size() == 1);
  Table.merge(notice("b", 1, member_state::Serving));
  Table.merge(notice("c", 1, member_state::Serving));
  CHECK(Table.servingEntries(Start).size() == 3);
  // Custody prefers peers of other failure domains.
  CHECK(Table.responsivePeers(Start).front() == vm_id("c"));
  CHECK(Table.servingEntries(Start + milliseconds(2001)).size() == 1);
}

TEST_CASE("a leaving VM stays excluded until it restarts") {
  auto Table = makeTable();
  Table.applyList({entry("b", "north")}, Start);
  Table.recordContact(vm_id("b"), 5, Start);
  Table.merge(notice("b", 5, member_state::Serving));
  CHECK(Table.servingEntries(Start).size() == 2);
  Table.merge(notice("b", 5, member_state::Leaving));
  Table.merge(notice("b", 5, member_state::Serving));
  CHECK(Table.servingEntries(Start).size() == 1);
  Table.recordContact(vm_id("b"), 6, Start);
  Table.merge(notice("b", 6, member_state::Serving));
  CHECK(Table.servingEntries(Start).size() == 2);
}

TEST_CASE("a VM has left or failed only when silent for long or unlisted") {
  auto Table = makeTable();
  Table.applyList({entry("b", "north")}, Start);
  Table.recordContact(vm_id("b"), 1, Start);
  CHECK_FALSE(
      Table.hasLeftOrFailed(vm_id("b"), Start + std::chrono::seconds(10)));
  CHECK(Table.hasLeftOrFailed(vm_id("b"), Start + milliseconds(10001)));
  CHECK(Table.hasLeftOrFailed(vm_id("z"), Start));
  CHECK_FALSE(Table.hasRestarted(vm_id("b"), 1));
  Table.recordContact(vm_id("b"), 2, Start);
  CHECK(Table.hasRestarted(vm_id("b"), 1));
}

TEST_CASE("constantly updated items do not starve the others") {
  gossip_buffer<int, int> Buffer(2);
  std::set<int> Seen;
  for (int Round = 0; Round < 20; ++Round) {
    for (int Key = 0; Key < 10; ++Key)
      Buffer.put(Key, Key);
    for (int Item : Buffer.take(2, 0))
      Seen.insert(Item);
  }
  CHECK(Seen.size() == 10);
}

TEST_CASE("room left in a frame repeats items for VMs that join late") {
  gossip_buffer<int, int> Buffer(1);
  for (int Key = 0; Key < 5; ++Key)
    Buffer.put(Key, Key);
  (void)Buffer.take(5, 0);
  std::set<int> Seen;
  for (int Round = 0; Round < 5; ++Round)
    for (int Item : Buffer.take(5, 1))
      Seen.insert(Item);
  CHECK(Seen.size() == 5);
}

TEST_CASE("a malformed list is rejected as a whole") {
  CHECK(isError(parseVmList("[{\"vm\":\"a\"}]")));
  CHECK(isError(parseVmList("nonsense")));
  CHECK(isError(parseVmList(
      R"([{"vm":"a","kind":"entry","domain":"d","address":"nowhere:1"}])")));
  CHECK(valueOf(parseVmList(
                    R"([{"vm":"a","kind":"engine","domain":"d",
                         "address":"127.0.0.1:1","state":"leaving"}])"))
            .at(0)
            .State == listed_state::Leaving);
}
